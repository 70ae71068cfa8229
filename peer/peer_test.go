package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/nonzero"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// patience bounds waits for a condition.
const patience = 30 * time.Second

// recorder is a handler that keeps what it receives.
type recorder struct {
	mu       sync.Mutex
	beats    []event.Heartbeat
	releases []event.Release
	requests []model.SubRequest
	messages int // that carried requests
	replies  []model.SubReply
	cancels  []event.Cancel
	lost     []event.PeerLost
	failed   []model.SubRequest
	objects  []model.Object
}

func (r *recorder) Heartbeat(hb event.Heartbeat) { r.do(func() { r.beats = append(r.beats, hb) }) }
func (r *recorder) Release(v event.Release)      { r.do(func() { r.releases = append(r.releases, v) }) }
func (r *recorder) SubRequests(_ model.VM, v []model.SubRequest) {
	r.do(func() {
		r.requests = append(r.requests, v...)
		r.messages++
	})
}
func (r *recorder) SubReplies(_ model.VM, v []model.SubReply) {
	r.do(func() { r.replies = append(r.replies, v...) })
}
func (r *recorder) Cancels(_ model.VM, v []event.Cancel) {
	r.do(func() { r.cancels = append(r.cancels, v...) })
}
func (r *recorder) PeerLost(vm model.VM, c event.Connection) {
	r.do(func() { r.lost = append(r.lost, event.PeerLost{VM: vm, Connection: c}) })
}
func (r *recorder) SendFailed(_ model.VM, v []model.SubRequest) {
	r.do(func() { r.failed = append(r.failed, v...) })
}
func (r *recorder) Objects(_ context.Context, since uint64) ([]model.Object, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since > 1000 {
		return nil, 0, fmt.Errorf("no such revision")
	}
	return r.objects, 77, nil
}

func (r *recorder) do(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// seen returns a copy of what was received so far.
func (r *recorder) seen() *recorder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &recorder{
		beats: slices.Clone(r.beats), releases: slices.Clone(r.releases), requests: slices.Clone(r.requests),
		messages: r.messages, replies: slices.Clone(r.replies), cancels: slices.Clone(r.cancels),
		lost: slices.Clone(r.lost), failed: slices.Clone(r.failed),
	}
}

// wait repeats ok, which may read the recorder, until it holds.
func (r *recorder) wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		r.mu.Lock()
		done := ok()
		r.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		time.Sleep(time.Millisecond)
	}
}

// node is a network that serves on loopback.
type node struct {
	*recorder
	net     *Network
	address string
	served  chan error
	once    sync.Once
}

func start(t *testing.T, vm model.VM, address string) *node {
	t.Helper()
	lis, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{recorder: &recorder{}, address: lis.Addr().String(), served: make(chan error, 1)}
	n.net = New(Config{Self: vm}, n.recorder)
	go func() { n.served <- n.net.Serve(lis) }()
	t.Cleanup(func() { n.stop(t) })
	return n
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	n.once.Do(func() {
		n.net.Close()
		select {
		case err := <-n.served:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(patience):
			t.Error("Serve does not end")
		}
	})
}

// hung accepts connections and never reads.
func hung(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = lis.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	})
	return lis.Addr().String()
}

func request(id int, payload []byte) []model.SubRequest {
	return []model.SubRequest{{Query: model.QueryID(id), Entry: "a", Payload: payload}}
}

// TestMessages guards against any of the messages that does not arrive, in each direction.
func TestMessages(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	a.net.Beat("b", b.address, event.Heartbeat{From: "a", Sequence: 5})
	b.wait(t, "heartbeat", func() bool { return len(b.beats) == 1 && b.beats[0].Sequence == 5 })

	var rel event.Release
	nonzero.Fill(&rel, nil)
	a.net.Hand(b.address, rel)
	b.wait(t, "release", func() bool { return len(b.releases) == 1 })
	is.Equal(b.seen().releases[0], rel)

	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		vm := to.net.cfg.Self
		from.net.Requests(vm, to.address, request(1, []byte("x")))
		to.wait(t, "request", func() bool { return len(to.requests) == 1 })
		from.net.Cancels(vm, []event.Cancel{{Query: 1, Run: 2}})
		to.wait(t, "cancel", func() bool { return len(to.cancels) == 1 })
		to.net.Replies(from.net.cfg.Self, []model.SubReply{{Query: 1, Hits: []model.Hit{{Document: "d", Score: 1, Body: []byte("b")}}}})
		from.wait(t, "reply", func() bool { return len(from.replies) == 1 })
		is.Equal(from.seen().replies[0].Hits[0].Document, "d")
	}
	is.Equal(len(a.seen().lost)+len(b.seen().lost)+len(a.seen().failed)+len(b.seen().failed), 0)
}

// TestPull guards against a pull that fails because it is large, or because of one object.
func TestPull(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	const count, size = 12, 1 << 20
	for i := range count {
		o := model.Object{Key: model.ObjectKey{Kind: model.ObjectZone, Name: fmt.Sprint(i)}, Version: uint64(i + 1)}
		o.Zone = &model.ZoneState{Zone: "z", Reason: strings.Repeat("r", size)}
		b.objects = append(b.objects, o)
	}
	b.objects = append(b.objects, model.Object{Key: model.ObjectKey{Kind: "quotas", Name: "x"}, Version: 99})
	type result struct {
		objects  []model.Object
		revision uint64
		err      error
	}
	pull := func(address string, since uint64) result {
		done := make(chan result, 1)
		a.net.Pull(address, since, func(o []model.Object, r uint64, err error) { done <- result{o, r, err} })
		select {
		case r := <-done:
			return r
		case <-time.After(patience):
			t.Fatal("pull does not end")
		}
		return result{}
	}
	r := pull(b.address, 0)
	is.NoErr(r.err)
	is.Equal(r.objects, b.objects[:count])
	is.Equal(r.revision, uint64(77))
	is.True(pull(b.address, 5000).err != nil)        // the peer answers with an error
	is.True(pull("127.0.0.1:1", 0).err != nil)       // nobody there
	is.True(pull(hung(t), 0).err != nil)             // a peer that hangs
	is.Equal(len(pull(b.address, 0).objects), count) // and again
}

// TestBatching guards against sub-requests that are lost, doubled or out of order under load.
func TestBatching(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	const count = 20000
	for i := range count {
		a.net.Requests("b", b.address, request(i, []byte("logo")))
	}
	b.wait(t, "requests", func() bool { return len(b.requests) >= count })
	is.Equal(len(b.seen().requests), count)
	is.True(slices.IsSortedFunc(b.seen().requests, func(x, y model.SubRequest) int { return int(x.Query) - int(y.Query) }))
	is.True(b.seen().messages < count)
	t.Logf("%d requests in %d messages", count, b.seen().messages)
	is.Equal(len(a.seen().failed), 0)
}

// TestConnectionLoss guards against a loss that one side does not hear of, and against a
// network that does not connect again.
func TestConnectionLoss(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	a.net.Requests("b", b.address, request(1, nil))
	b.wait(t, "request", func() bool { return len(b.requests) == 1 })
	b.stop(t)
	out := event.PeerLost{VM: "b", Connection: event.ConnectionOut}
	a.wait(t, "loss at the entry daemon", func() bool { return slices.Contains(a.lost, out) })
	is.Equal(b.seen().lost, []event.PeerLost{{VM: "a", Connection: event.ConnectionIn}})
	is.Equal(len(a.seen().failed), 0) // the request had been sent

	a.wait(t, "stream stays", func() bool {
		a.net.mu.Lock()
		defer a.net.mu.Unlock()
		return len(a.net.traffic) == 0
	})
	a.net.Requests("b", b.address, request(2, nil)) // nobody there
	a.wait(t, "refused request", func() bool { return len(a.failed) == 1 && a.failed[0].Query == 2 })
	a.wait(t, "stream stays", func() bool {
		a.net.mu.Lock()
		defer a.net.mu.Unlock()
		return len(a.net.traffic) == 0
	})
	is.Equal(a.seen().lost, []event.PeerLost{out}) // no connection, so none is lost

	b = start(t, "b", b.address)
	a.net.Requests("b", b.address, request(3, nil))
	b.wait(t, "request after a restart", func() bool { return len(b.requests) == 1 })
	a.net.Beat("b", b.address, event.Heartbeat{From: "a"})
	b.wait(t, "heartbeat after a restart", func() bool { return len(b.beats) == 1 })
	a.stop(t)
	b.wait(t, "loss at the owner", func() bool { return len(b.lost) == 1 && b.lost[0].Connection == event.ConnectionIn })
	a.net.Requests("b", b.address, request(4, nil))
	is.Equal(last(a.seen().failed).Query, model.QueryID(4)) // closed: not sent
}

func last(list []model.SubRequest) model.SubRequest { return list[len(list)-1] }

// TestRestartedEntry guards against replies to an earlier process of an entry daemon that
// reach the next one, and against its sub-requests that nobody withdraws.
func TestRestartedEntry(t *testing.T) {
	is := is.New(t)
	old, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	old.net.Requests("b", b.address, request(1, nil))
	b.wait(t, "first", func() bool { return len(b.requests) == 1 })
	next := start(t, "a", "127.0.0.1:0")
	next.net.Requests("b", b.address, request(2, nil))
	b.wait(t, "second", func() bool { return len(b.requests) == 2 })
	is.Equal(b.seen().lost, []event.PeerLost{{VM: "a", Connection: event.ConnectionIn}})
	b.net.Replies("a", []model.SubReply{{Query: 2}})
	next.wait(t, "reply", func() bool { return len(next.replies) == 1 })
	old.wait(t, "old process is cut off", func() bool { return len(old.lost) == 1 })
	is.Equal(len(old.seen().replies), 0)
	next.stop(t)
	b.wait(t, "loss", func() bool { return len(b.lost) == 2 })
}

// TestHungPeer guards against one peer that hangs and delays the others, or lets the queue
// for it grow without bound.
func TestHungPeer(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	address := hung(t)
	a.net.Beat("h", address, event.Heartbeat{From: "a"})
	payload := make([]byte, 1<<20)
	const count = 200
	a.net.Requests("h", address, request(0, payload))
	a.wait(t, "first request is not written", func() bool {
		a.net.mu.Lock()
		s := a.net.traffic["h"]
		a.net.mu.Unlock()
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.bytes == 0
	})
	for i := 1; i < count; i++ {
		a.net.Requests("h", address, request(i, payload))
		a.net.Beat("h", address, event.Heartbeat{From: "a"})
		a.net.Beat("b", b.address, event.Heartbeat{From: "a", Sequence: uint64(i)})
	}
	a.net.mu.Lock()
	s := a.net.traffic["h"]
	a.net.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		is.True(s.bytes <= maxQueuedBytes)
		s.mu.Unlock()
	}
	b.wait(t, "heartbeats to the others", func() bool {
		return len(b.beats) > 0 && b.beats[len(b.beats)-1].Sequence == count-1
	})
	a.wait(t, "loss", func() bool { return slices.Contains(a.lost, event.PeerLost{VM: "h", Connection: event.ConnectionOut}) })
	seen := make(map[model.QueryID]bool)
	for _, r := range a.seen().failed {
		is.True(!seen[r.Query]) // reported once
		seen[r.Query] = true
	}
	is.True(len(seen) > 0)
	is.True(!seen[0]) // it may have been sent
	t.Logf("%d of %d requests reported as not sent", len(seen), count)
}

// TestHungEntry guards against an entry daemon that hangs and lets the replies for it grow
// without bound.
func TestHungEntry(t *testing.T) {
	is := is.New(t)
	b := start(t, "b", "127.0.0.1:0")
	a := New(Config{Self: "a"}, blockingHandler{&recorder{}, make(chan struct{})})
	defer a.Close()
	defer close(a.handler.(blockingHandler).block)
	a.Requests("b", b.address, request(1, nil))
	b.wait(t, "request", func() bool { return len(b.requests) == 1 })
	body := make([]byte, 1<<20)
	for range 200 {
		b.net.Replies("a", []model.SubReply{{Query: 1, Hits: []model.Hit{{Body: body}}}})
		b.net.mu.Lock()
		if s := b.net.accepted["a"]; s != nil {
			s.mu.Lock()
			is.True(s.bytes <= maxQueuedBytes)
			s.mu.Unlock()
		}
		b.net.mu.Unlock()
	}
	b.wait(t, "loss", func() bool { return len(b.lost) == 1 })
}

// blockingHandler stops reading at the first reply.
type blockingHandler struct {
	*recorder
	block chan struct{}
}

func (h blockingHandler) SubReplies(model.VM, []model.SubReply) { <-h.block }

// TestForget guards against connections to peers that are gone.
func TestForget(t *testing.T) {
	a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
	a.net.Requests("b", b.address, request(1, nil))
	a.net.Beat("b", b.address, event.Heartbeat{From: "a"})
	b.wait(t, "request", func() bool { return len(b.requests) == 1 && len(b.beats) == 1 })
	a.net.Forget(map[model.VM]model.Peer{"b": {}})
	a.net.Forget(nil)
	b.wait(t, "stream to a forgotten peer stays", func() bool { return len(b.lost) == 1 })
	a.net.Beat("b", b.address, event.Heartbeat{From: "a"}) // it may return
	b.wait(t, "heartbeat", func() bool { return len(b.beats) == 2 })
}

// TestClose guards against goroutines that outlive Close, whatever they wait for.
func TestClose(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 5 {
		a, b := start(t, "a", "127.0.0.1:0"), start(t, "b", "127.0.0.1:0")
		address := hung(t)
		a.net.Beat("h", address, event.Heartbeat{From: "a"})
		a.net.Beat("b", b.address, event.Heartbeat{From: "a"})
		a.net.Pull(address, 0, func([]model.Object, uint64, error) {})
		a.net.Requests("h", address, request(1, make([]byte, 30<<20)))
		a.net.Requests("b", b.address, request(2, nil))
		b.net.Requests("a", a.address, request(3, nil))
		b.wait(t, "request", func() bool { return len(b.requests) == 1 })
		a.stop(t)
		b.stop(t)
	}
	const spare = 5 + 2 // one accepting goroutine for each hung peer, and those of the runtime
	deadline := time.Now().Add(patience)
	for runtime.NumGoroutine() > before+spare {
		if time.Now().After(deadline) {
			buf := make([]byte, 1<<20)
			t.Fatalf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, buf[:runtime.Stack(buf, true)])
		}
		time.Sleep(10 * time.Millisecond)
	}
}
