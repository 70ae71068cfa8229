// Package forward carries gathered queries from entry VMs to the VMs that send them to the
// backend servers, and the answers back: protobuf over drpc, one long stream from each entry
// VM to each sender.
package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/internal/deadline"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
)

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxQueued bounds the messages that wait for one VM.
	maxQueued = 1024
	// silentAfter is the time without an answer after which a stream that a query waits on
	// counts as dead.
	silentAfter = 300 * time.Millisecond
)

// Handler receives queries that are handed to this VM, and what senders answer.
type Handler interface {
	// Query brings a query. Its ID is that of the entry VM, unique on its stream.
	Query(from *Stream, q *forwardpb.Query)
	// Gone reports that the entry VM no longer waits for a query.
	Gone(from *Stream, id uint64)
	// Ended reports the end of an entry VM's stream.
	Ended(from *Stream)
	// Event brings what a sender says.
	Event(dispatch.Event)
}

// Network holds the streams of one VM.
type Network struct {
	handler Handler

	mu      sync.Mutex
	senders map[model.VM]*sender
}

// New returns a network without streams.
func New(handler Handler) *Network {
	return &Network{handler: handler, senders: make(map[model.VM]*sender)}
}

// sender is the stream to a VM that sends for this one.
type sender struct {
	vm      model.VM
	queue   chan *forwardpb.Query
	cancel  context.CancelFunc
	heardAt atomic.Int64 // Unix nanoseconds, of the process's own use only
}

// Send queues a query or a cancellation for a sender, and opens a stream if there is none.
func (n *Network) Send(ctx context.Context, vm model.VM, address string, q *forwardpb.Query) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.senders[vm]
	if !ok {
		if q.GetCancel() {
			return
		}
		s = n.open(ctx, vm, address)
	}
	select {
	case s.queue <- q:
	default:
		s.cancel() // it does not read
	}
}

// Suspect ends the stream to a sender that has been silent.
func (n *Network) Suspect(vm model.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.senders[vm]; ok && time.Since(time.Unix(0, s.heardAt.Load())) > silentAfter {
		s.cancel()
	}
}

func (n *Network) open(ctx context.Context, vm model.VM, address string) *sender {
	ctx, cancel := context.WithCancel(ctx)
	s := &sender{vm: vm, queue: make(chan *forwardpb.Query, maxQueued), cancel: cancel}
	s.heardAt.Store(time.Now().UnixNano())
	n.senders[vm] = s
	go func() {
		opened, err := n.run(ctx, s, address)
		cancel()
		n.mu.Lock()
		delete(n.senders, vm)
		n.mu.Unlock()
		n.handler.Event(dispatch.ForwardLost{VM: vm, Opened: opened, Cause: err.Error()})
	}()
	return s
}

// run carries queries and answers until the stream ends. It reports whether anything can have
// reached the sender.
func (n *Network) run(ctx context.Context, s *sender, address string) (opened bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return false, eris.Wrapf(err, "dial VM %s", s.vm)
	}
	conn := drpcconn.New(deadline.Conn{Conn: raw, Timeout: writeTimeout})
	defer func() { _ = conn.Close() }() // a stream that has ended has nothing to lose
	stream, err := forwardpb.NewDRPCForwardClient(conn).Queries(ctx)
	if err != nil {
		return true, eris.Wrapf(err, "open a stream to VM %s", s.vm)
	}
	received := make(chan error, 1)
	go func() { received <- n.receive(stream, s) }()
	for {
		select {
		case q := <-s.queue:
			if err := stream.Send(q); err != nil {
				return true, eris.Wrapf(err, "send to VM %s", s.vm)
			}
		case err := <-received:
			return true, err
		case <-ctx.Done():
			return true, eris.Errorf("VM %s is silent", s.vm)
		}
	}
}

func (n *Network) receive(stream forwardpb.DRPCForward_QueriesClient, s *sender) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "stream of VM %s", s.vm)
		}
		s.heardAt.Store(time.Now().UnixNano())
		n.handler.Event(decodeAnswer(m))
	}
}

func decodeAnswer(m *forwardpb.Answer) dispatch.Event {
	id := model.QueryID(m.GetId())
	switch {
	case m.GetAccepted():
		return dispatch.ForwardAccepted{Query: id}
	case m.GetDeclined():
		return dispatch.ForwardDeclined{Query: id}
	case m.GetRefused():
		return dispatch.ForwardAnswered{Query: id, Version: m.GetVersion(), Refusal: &dispatch.Refuse{
			Code:       dispatch.Code(m.GetCode()),
			Reason:     m.GetReason(),
			RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
		}}
	}
	return dispatch.ForwardAnswered{Query: id, Version: m.GetVersion(), Gathered: &dispatch.GatheredReply{
		Version:    m.GetVersion(),
		Signatures: m.GetSignatures(),
		Missing:    int(m.GetMissing()),
		Body:       m.GetBody(),
	}}
}

// Stream is the stream of an entry VM that hands queries to this one.
type Stream struct {
	queue chan *forwardpb.Answer
	done  chan struct{}
	once  sync.Once
}

// Put queues an answer. A stream whose reader is too slow ends.
func (s *Stream) Put(m *forwardpb.Answer) {
	select {
	case s.queue <- m:
	default:
		s.end()
	}
}

func (s *Stream) end() { s.once.Do(func() { close(s.done) }) }

// Queries implements forwardpb.DRPCForwardServer.
func (n *Network) Queries(stream forwardpb.DRPCForward_QueriesStream) error {
	s := &Stream{queue: make(chan *forwardpb.Answer, maxQueued), done: make(chan struct{})}
	defer n.handler.Ended(s)
	go func() {
		defer s.end()
		for {
			q, err := stream.Recv()
			if err != nil {
				return // the entry VM has closed the stream, which is its usual end
			}
			if q.GetCancel() {
				n.handler.Gone(s, q.GetId())
				continue
			}
			n.handler.Query(s, q)
		}
	}()
	for {
		select {
		case m := <-s.queue:
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-s.done:
			return nil
		}
	}
}
