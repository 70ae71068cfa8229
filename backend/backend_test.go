package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/standin"
)

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 20 * time.Second

var testLimits = model.Limits{Slots: 3, Connections: 4}

// fixture is a stand-in for a backend server that counts its connections and attempt IDs.
type fixture struct {
	searcher    *standin.Searcher
	address     string
	mu          sync.Mutex
	openConns   map[net.Conn]bool
	peakConns   int
	openedConns int
	attemptIDs  map[string]int // requests by X-Attempt-Id
}

func newFixture(t *testing.T, cfg standin.SearcherConfig) *fixture {
	t.Helper()
	f := &fixture{searcher: standin.NewSearcher(cfg), openConns: make(map[net.Conn]bool), attemptIDs: make(map[string]int)}
	h := f.searcher.Handler()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.attemptIDs[r.Header.Get("X-Attempt-Id")]++
		f.mu.Unlock()
		h.ServeHTTP(w, r)
	}))
	srv.Config.ConnState = f.connState
	srv.Start()
	t.Cleanup(srv.Close)
	f.address = srv.Listener.Addr().String()
	return f
}

func (f *fixture) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.openConns[c] = true
		f.openedConns++
	case http.StateClosed, http.StateHijacked:
		delete(f.openConns, c)
	}
	f.peakConns = max(f.peakConns, len(f.openConns))
}

func (f *fixture) connections() (open, peak, opened int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.openConns), f.peakConns, f.openedConns
}

func newClient(t *testing.T, boot model.Boot) *HTTP {
	t.Helper()
	h := NewHTTP(Config{Self: "owner-1", Boot: boot})
	t.Cleanup(h.Close)
	return h
}

func newAttempt(address string, kind model.Kind) *effect.StartAttempt {
	return &effect.StartAttempt{
		Attempt: 1,
		Server:  model.BackendServer{ID: "b1", Address: address},
		Key:     model.ShardKey{Route: model.Route{Customer: "c", Route: "r"}, Version: "v1", Shard: "s0"},
		Kind:    kind,
		Timeout: waitTimeout,
		Limits:  testLimits,
		Payload: []byte("logo"),
		Entry:   "entry-1",
	}
}

// executeConcurrently runs n attempts at the same time.
func executeConcurrently(ctx context.Context, h *HTTP, a *effect.StartAttempt, n int) []model.AttemptResult {
	results := make([]model.AttemptResult, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { results[i] = h.Execute(ctx, a) })
	}
	wg.Wait()
	return results
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestResults guards against results without the snapshot, the boot or the hits of the response.
func TestResults(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.SearcherConfig{Slots: 3, ColdSlots: 3, Hits: 5, FirstNewest: 7})
	h := newClient(t, 1)
	a := newAttempt(f.address, model.KindSearch)
	a.Limit = 2
	res := h.Execute(t.Context(), a)
	is.Equal(res.Outcome, model.OutcomeOK)
	is.True(res.Boot != 0)
	is.Equal([]model.Snapshot{res.Snapshot, res.Oldest, res.Newest}, []model.Snapshot{7, 6, 7})
	is.Equal(len(res.Hits), 2)
	is.True(len(res.Hits[0].Body) > 0 && res.Hits[0].Document == "r/s0/0")
	a.Snapshot = 6
	is.Equal(h.Execute(t.Context(), a).Snapshot, model.Snapshot(6))

	f.searcher.Publish()
	gone := h.Execute(t.Context(), a)
	is.Equal(gone.Outcome, model.OutcomeSnapshotGone)
	is.Equal([]model.Snapshot{gone.Oldest, gone.Newest}, []model.Snapshot{7, 8})
	is.Equal(gone.Boot, res.Boot)
	a.Snapshot = 0
	f.searcher.Restart()
	again := h.Execute(t.Context(), a)
	is.True(again.Boot != res.Boot)

	f.searcher.SetFaults(0, 1)
	is.Equal(h.Execute(t.Context(), a).Outcome, model.OutcomeFailed)
	f.searcher.SetDraining(true)
	is.Equal(h.Execute(t.Context(), a).Outcome, model.OutcomeShed)
}

// TestShed guards against reporting a shed attempt as one that may have run.
func TestShed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.SearcherConfig{Slots: 1, ColdSlots: 1, Median: time.Hour})
	h := newClient(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan model.AttemptResult, 1)
	go func() { done <- h.Execute(ctx, newAttempt(f.address, model.KindSubmit)) }()
	waitFor(t, "first attempt did not start", func() bool { return f.searcher.Stats().Executed == 1 })
	is.Equal(h.Execute(t.Context(), newAttempt(f.address, model.KindSubmit)).Outcome, model.OutcomeShed)
	cancel()
	is.Equal((<-done).Outcome, model.OutcomeCancelled)
	waitFor(t, "slot was not freed", func() bool { return f.searcher.Stats().Cancelled == 1 })
	is.Equal(f.searcher.Stats().Submits["logo"], 1)
}

// TestTimeout guards against an attempt that continues after its timeout.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.SearcherConfig{Slots: 1, ColdSlots: 1, Median: time.Hour})
	a := newAttempt(f.address, model.KindRead)
	a.Timeout = 100 * time.Millisecond
	is.Equal(newClient(t, 1).Execute(t.Context(), a).Outcome, model.OutcomeTimeout)
	waitFor(t, "slot was not freed", func() bool { return f.searcher.Stats().Cancelled == 1 })
}

// TestServerTimeout guards against reporting an attempt that the backend server ended at its
// deadline as a failure of the server.
func TestServerTimeout(t *testing.T) {
	is := is.New(t)
	const body = `{"code":"timeout","reason":"the deadline has passed"}`
	address, _ := startRawServer(t, func(_ int64, conn net.Conn) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 504 Gateway Timeout\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	is.Equal(newClient(t, 1).Execute(t.Context(), newAttempt(address, model.KindSubmit)).Outcome, model.OutcomeTimeout)
}

// TestOddStatusIsNoAnswer guards against a response whose status is not that of an error, and that is taken
// for the server's word that it did not run the attempt. A submit would then be sent again.
func TestOddStatusIsNoAnswer(t *testing.T) {
	tests := []struct {
		status string
		want   model.OutcomeCode
	}{
		{"000", model.OutcomeLost},
		{"001", model.OutcomeLost},
		{"099", model.OutcomeLost},
		{"204", model.OutcomeLost},
		{"302", model.OutcomeLost},
		{"399", model.OutcomeLost},
		{"600", model.OutcomeLost},
		{"999", model.OutcomeLost},
		{"20", model.OutcomeLost},
		{"+20", model.OutcomeLost},
		{"2000", model.OutcomeLost},
		{"429", model.OutcomeShed},
		{"503", model.OutcomeShed},
		{"599", model.OutcomeShed},
	}
	const body = `{"code":"shed","reason":"all slots are in use"}`
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			is := is.New(t)
			address, _ := startRawServer(t, func(_ int64, conn net.Conn) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", tt.status, len(body), body)
				return err == nil
			})
			is.Equal(newClient(t, 1).Execute(t.Context(), newAttempt(address, model.KindSubmit)).Outcome, tt.want)
		})
	}
}

// TestNotConnected guards against reporting an attempt that was never sent as one that may have
// run.
func TestNotConnected(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(lis.Close())
	h := newClient(t, 1)
	is.Equal(h.Execute(t.Context(), newAttempt(lis.Addr().String(), model.KindSubmit)).Outcome, model.OutcomeRefusedConnection)

	// The only permitted connection is in use until the second attempt times out.
	f := newFixture(t, standin.SearcherConfig{Slots: 5, ColdSlots: 5, Median: time.Hour})
	first := newAttempt(f.address, model.KindSubmit)
	first.Limits.Connections = 1
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan model.AttemptResult, 1)
	go func() { done <- h.Execute(ctx, first) }()
	waitFor(t, "first attempt did not start", func() bool { return f.searcher.Stats().Executed == 1 })
	second := *first
	second.Timeout = 100 * time.Millisecond
	is.Equal(h.Execute(t.Context(), &second).Outcome, model.OutcomeRefusedConnection)
	cancel()
	<-done
	is.Equal(f.searcher.Stats().Executed, 1)
}

// startRawServer starts a TCP server that calls answer for each request, with the number of the
// request. If answer returns false, the server closes the connection. requests counts the requests.
func startRawServer(t *testing.T, answer func(n int64, conn net.Conn) bool) (address string, requests *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := bufio.NewReader(req.Body).WriteTo(discard{}); err != nil {
						return
					}
					if !answer(requests.Add(1), conn) {
						return
					}
				}
			}()
		}
	}()
	return lis.Addr().String(), requests
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

const okBody = `{"state":{"boot":1,"oldest":1,"newest":1},"snapshot":1,"hits":[]}`

func writeOK(conn net.Conn) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(okBody), okBody)
	return err == nil
}

// TestSentOnce guards against a submit that net/http sends twice, and against taking a lost or
// invalid response as proof that the submit did not run.
func TestSentOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before int64 // requests answered correctly before the faulty reply
		reply  string
	}{
		{"new connection", 0, ""},
		{"reused connection", 1, ""},
		{"truncated response", 0, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n{\"state\""},
		{"not HTTP", 0, "\x00\x01\x02\r\n"},
		{"not JSON", 0, "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nno"},
		{"invalid JSON", 0, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := startRawServer(t, func(n int64, conn net.Conn) bool {
				if n <= tc.before {
					return writeOK(conn)
				}
				_, _ = conn.Write([]byte(tc.reply))
				return false
			})
			h := newClient(t, 1)
			for range tc.before {
				is.Equal(h.Execute(t.Context(), newAttempt(address, model.KindSubmit)).Outcome, model.OutcomeOK)
			}
			res := h.Execute(t.Context(), newAttempt(address, model.KindSubmit))
			is.Equal(res.Outcome, model.OutcomeLost)
			is.True(!res.Outcome.NotRun())
			is.Equal(requests.Load(), tc.before+1)
		})
	}
}

// TestIdleConnectionClosed guards against a submit that is sent twice because the server closes an
// idle connection while the client reuses it.
func TestIdleConnectionClosed(t *testing.T) {
	is := is.New(t)
	address, requests := startRawServer(t, func(_ int64, conn net.Conn) bool {
		writeOK(conn)
		return false
	})
	h := newClient(t, 1)
	sent := int64(0)
	for range 200 {
		res := h.Execute(t.Context(), newAttempt(address, model.KindSubmit))
		sent++
		is.True(res.Outcome == model.OutcomeOK || res.Outcome == model.OutcomeLost)
		is.True(requests.Load() <= sent)
	}
}

// TestConnections guards against opening more connections than the server permits, against pools
// that ignore changed limits, and against keeping the pools of removed servers.
func TestConnections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.SearcherConfig{Slots: 100, ColdSlots: 100, Median: time.Millisecond})
	h := newClient(t, 1)
	a := newAttempt(f.address, model.KindSearch)
	for range 5 {
		h.Execute(t.Context(), a)
	}
	_, _, opened := f.connections()
	is.Equal(opened, 1) // the connection was reused

	for _, res := range executeConcurrently(t.Context(), h, a, 40) {
		is.Equal(res.Outcome, model.OutcomeOK)
	}
	open, peak, _ := f.connections()
	is.True(peak <= testLimits.Connections)
	is.True(open <= testLimits.Slots+1) // idle connections that are kept
	t.Logf("after 40 concurrent attempts: %d connections open, at most %d, limit %d", open, peak, testLimits.Connections)

	a.Limits.Connections = 12
	a.Limits.Slots = 12
	f.mu.Lock()
	f.peakConns = 0
	f.mu.Unlock()
	f.searcher.SetFaults(1, 0) // makes the server 10 times slower, so that the attempts overlap
	executeConcurrently(t.Context(), h, a, 40)
	_, peak, _ = f.connections()
	is.True(peak > testLimits.Connections) // the new limit is used
	t.Logf("after raising the limit to 12: at most %d connections", peak)

	h.RetainServers([]model.BackendServer{a.Server})
	is.Equal(len(h.servers), 1)
	other := a.Server
	other.Address = "127.0.0.1:1"
	h.RetainServers([]model.BackendServer{other})
	is.Equal(len(h.servers), 0)
	waitFor(t, "connections of a removed server stayed open", func() bool {
		open, _, _ := f.connections()
		return open == 0
	})
}

// TestAttemptIDs guards against two attempts with the same ID. The workers of a daemon number their
// attempts independently, and a restarted daemon starts counting again.
func TestAttemptIDs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.SearcherConfig{Slots: 9, ColdSlots: 9})
	for boot := range model.Boot(2) {
		h := newClient(t, boot+1)
		executeConcurrently(t.Context(), h, newAttempt(f.address, model.KindSearch), 5)
	}
	is.Equal(len(f.attemptIDs), 10)
	for id := range f.attemptIDs {
		is.True(strings.HasPrefix(id, "owner-1-"))
	}
}

// TestTraceparent guards against traces that do not continue at the backend server.
func TestTraceparent(t *testing.T) {
	is := is.New(t)
	got := traceparent(model.TraceContext{TraceID: [16]byte{1}, SpanID: [8]byte{2}})
	is.Equal(got.Value, "00-01000000000000000000000000000000-0200000000000000-01")
	is.True(!traceparent(model.TraceContext{}).Set)
}
