// Package relay carries what the VMs that read the store know to the other entry VMs:
// protobuf over drpc, one long stream from each followed VM to each of its followers.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/internal/deadline"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

const (
	// maxMessage bounds one message in bytes; a kind has thousands of objects, and the
	// configuration up to 1 MB.
	maxMessage   = 64 << 20
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxQueued bounds the messages that wait for one follower. A follower that falls
	// further behind has to start anew.
	maxQueued = 256
)

// Handler receives what followed VMs say, and who follows. It must not block for long.
type Handler interface {
	Heard(directory.UpstreamStatusReceived)
	FollowEnded(directory.FollowEnded)
	FollowerJoined(directory.FollowerJoined)
	FollowerLeft(directory.FollowerLeft)
	FollowerSaid(directory.FollowerEvidenceReceived)
	// Known returns the revision up to which a kind is known, so that older updates need not
	// be read. It may be called from any goroutine.
	Known(directory.Kind) uint64
}

// DecodeFunc reads an object as the store sent it.
type DecodeFunc func(kind directory.Kind, data []byte) directory.Change

// Network holds the streams from followed VMs and to followers.
type Network struct {
	self    model.VM
	handler Handler
	decode  DecodeFunc

	mu        sync.Mutex
	follows   map[model.VM]*followed
	followers map[uint64]*follower
	next      uint64
	leaving   bool
}

// followed is the stream from a followed VM.
type followed struct {
	cancel context.CancelFunc
	// report is the newest report that the VM has not got yet; an older one is replaced.
	report chan *relaypb.FollowRequest
}

type follower struct {
	queue chan *relaypb.Update
	full  chan struct{} // closed when the queue has overflowed
	once  sync.Once
}

// New returns a network without streams.
func New(self model.VM, handler Handler, decode DecodeFunc) *Network {
	return &Network{
		self:      self,
		handler:   handler,
		decode:    decode,
		follows:   make(map[model.VM]*followed),
		followers: make(map[uint64]*follower),
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Start follows a VM. The end of its stream is reported unless Stop caused it.
func (n *Network) Start(ctx context.Context, vm model.VM, address string) {
	ctx, cancel := context.WithCancel(ctx)
	f := &followed{cancel: cancel, report: make(chan *relaypb.FollowRequest, 1)}
	n.mu.Lock()
	if old, ok := n.follows[vm]; ok {
		old.cancel()
	}
	n.follows[vm] = f
	n.mu.Unlock()
	go func() {
		err := n.receive(ctx, vm, address, f)
		if ctx.Err() == nil {
			n.handler.FollowEnded(directory.FollowEnded{From: vm, Cause: err.Error()})
		}
		cancel()
	}()
}

// Stop ends the stream from a VM.
func (n *Network) Stop(vm model.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f, ok := n.follows[vm]; ok {
		f.cancel()
		delete(n.follows, vm)
	}
}

// Report tells all followed VMs the counters of this VM. It does not block.
func (n *Network) Report(e directory.SendEvidence) {
	m := &relaypb.FollowRequest{Vm: string(n.self), Evidence: encodeEvidence(e.Evidence)}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.follows {
		select {
		case <-f.report:
		default:
		}
		f.report <- m // only Report fills it, under the lock
	}
}

// Leave tells all followers that this VM is about to stop.
func (n *Network) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	for _, f := range n.followers {
		f.put(&relaypb.Update{Leaving: true})
	}
}

// Spread queues a message for one follower, or for all.
func (n *Network) Spread(e directory.SendUpdate) error {
	m, err := encode(e)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Follower != 0 {
		if f, ok := n.followers[e.Follower]; ok {
			f.put(m)
		}
		return nil
	}
	for _, f := range n.followers {
		f.put(m)
	}
	return nil
}

func (f *follower) put(m *relaypb.Update) {
	select {
	case f.queue <- m:
	default:
		f.once.Do(func() { close(f.full) })
	}
}

// receive takes what a followed VM says until its stream ends.
func (n *Network) receive(ctx context.Context, vm model.VM, address string, f *followed) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "dial VM %s", vm)
	}
	conn := drpcconn.NewWithOptions(deadline.Conn{Conn: raw, Timeout: writeTimeout}, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }() // a stream that has ended has nothing to lose
	stream, err := relaypb.NewDRPCRelayClient(conn).Follow(ctx)
	if err != nil {
		return eris.Wrapf(err, "follow VM %s", vm)
	}
	if err := stream.Send(&relaypb.FollowRequest{Vm: string(n.self)}); err != nil {
		return eris.Wrapf(err, "follow VM %s", vm)
	}
	go sendReports(stream, f)
	for {
		m, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "stream of VM %s", vm)
		}
		h, err := n.decodeUpdate(vm, m)
		if err != nil {
			return err
		}
		n.handler.Heard(h)
	}
}

// sendReports sends reports until the stream ends. A failure ends the stream, which its reader
// reports.
func sendReports(stream relaypb.DRPCRelay_FollowClient, f *followed) {
	for {
		select {
		case m := <-f.report:
			if err := stream.Send(m); err != nil {
				f.cancel()
				return
			}
		case <-stream.Context().Done():
			return
		}
	}
}

// takeReports hands on what a follower has seen until its stream ends, which Follow reports.
func (n *Network) takeReports(stream relaypb.DRPCRelay_FollowStream) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if len(m.GetEvidence()) > 0 {
			n.handler.FollowerSaid(directory.FollowerEvidenceReceived{Evidence: decodeEvidence(m)})
		}
	}
}

// Follow implements relaypb.DRPCRelayServer: it streams to a VM that follows this one.
func (n *Network) Follow(stream relaypb.DRPCRelay_FollowStream) error {
	if _, err := stream.Recv(); err != nil {
		return eris.Wrap(err, "first message of a follower")
	}
	id, f := n.join()
	if f == nil {
		return eris.New("the VM is about to stop")
	}
	defer n.leave(id)
	n.handler.FollowerJoined(directory.FollowerJoined{Follower: id})
	go n.takeReports(stream)
	for {
		select {
		case m := <-f.queue:
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-f.full:
			return eris.New("the follower is too slow")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func (n *Network) join() (uint64, *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return 0, nil
	}
	n.next++
	f := &follower{queue: make(chan *relaypb.Update, maxQueued), full: make(chan struct{})}
	n.followers[n.next] = f
	return n.next, f
}

func (n *Network) leave(id uint64) {
	n.mu.Lock()
	delete(n.followers, id)
	n.mu.Unlock()
	n.handler.FollowerLeft(directory.FollowerLeft{Follower: id})
}

// decodeUpdate translates a message of a followed VM.
func (n *Network) decodeUpdate(from model.VM, m *relaypb.Update) (directory.UpstreamStatusReceived, error) {
	h := directory.UpstreamStatusReceived{From: from, Leaving: m.GetLeaving(), Ages: decodeAges(m.GetAgesMicros()), Rollouts: decodeOrders(m.GetOrders())}
	kind := directory.Kind(m.GetKind())
	if m.GetRevision() == 0 || int(kind) >= len(h.Ages) {
		return h, nil
	}
	known := n.handler.Known(kind)
	if m.GetRevision() <= known {
		return h, nil
	}
	objects, err := unpack(m.GetObjects(), m.GetPacked())
	if err != nil {
		return h, eris.Wrapf(err, "objects of kind %s from VM %s", kind, from)
	}
	h.Update = &directory.Update{Kind: kind, Full: m.GetFull(), Since: m.GetSince(), Revision: m.GetRevision()}
	for _, o := range objects {
		c := directory.Change{Name: o.GetName(), Revision: o.GetRevision(), Removed: true}
		if !o.GetRemoved() {
			c = n.decode(kind, o.GetData())
		}
		h.Update.Changes = append(h.Update.Changes, c)
	}
	return h, nil
}
