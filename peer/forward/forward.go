// Package forward carries gathered queries from entry VMs to senders, the VMs that send them to the
// backend servers, and the answers back. It uses protobuf over drpc, with one long-lived stream from
// each entry VM to each sender.
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
	// maxQueued bounds the messages queued for one VM. Beyond it the stream is closed.
	maxQueued = 1024
	// silenceTimeout is the time without a message from a sender after which CloseSender closes
	// the stream.
	silenceTimeout = 300 * time.Millisecond
)

// Handler processes the queries that entry VMs forward to this VM, and the answers of senders.
type Handler interface {
	// QueryReceived processes a forwarded query. The entry VM chose its ID, which is unique on the
	// stream.
	QueryReceived(from *Stream, q *forwardpb.Query)
	// QueryCancelled reports that the entry VM has cancelled the query with the given ID.
	QueryCancelled(from *Stream, id uint64)
	// StreamEnded reports that the stream of an entry VM has ended.
	StreamEnded(from *Stream)
	// Event processes an answer of a sender, or the loss of the stream to it.
	Event(dispatch.Event)
}

// Network holds the streams from this VM to senders, and serves the streams of entry VMs.
type Network struct {
	handler Handler

	mu      sync.Mutex
	senders map[model.VM]*sender
}

// New returns a Network without streams.
func New(handler Handler) *Network {
	return &Network{handler: handler, senders: make(map[model.VM]*sender)}
}

// sender is the stream to a VM that sends queries to backend servers for this one.
type sender struct {
	vm           model.VM
	queue        chan *forwardpb.Query
	cancel       context.CancelFunc
	lastReceived atomic.Int64 // Unix time in nanoseconds of the last message; at first, of the opening
}

// Send queues a query or a cancellation for a sender. For a query it opens a stream if there is none;
// without a stream a cancellation is dropped. A full queue closes the stream. Send does not block.
func (n *Network) Send(ctx context.Context, vm model.VM, address string, q *forwardpb.Query) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.senders[vm]
	if !ok {
		if q.GetCancel() {
			return
		}
		s = n.openStream(ctx, vm, address)
	}
	select {
	case s.queue <- q:
	default:
		s.cancel() // the queue is full: the sender does not read
	}
}

// CloseSender closes the stream to a sender if nothing was received on it for silenceTimeout.
func (n *Network) CloseSender(vm model.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.senders[vm]; ok && time.Since(time.Unix(0, s.lastReceived.Load())) > silenceTimeout {
		s.cancel()
	}
}

// openStream starts a stream to a sender. Its end is reported as dispatch.ForwardLost. The caller
// holds n.mu.
func (n *Network) openStream(ctx context.Context, vm model.VM, address string) *sender {
	ctx, cancel := context.WithCancel(ctx)
	s := &sender{vm: vm, queue: make(chan *forwardpb.Query, maxQueued), cancel: cancel}
	s.lastReceived.Store(time.Now().UnixNano())
	n.senders[vm] = s
	go func() {
		opened, err := n.runStream(ctx, s, address)
		cancel()
		n.mu.Lock()
		delete(n.senders, vm)
		n.mu.Unlock()
		n.handler.Event(dispatch.ForwardLost{VM: vm, Opened: opened, Cause: err.Error()})
	}()
	return s
}

// runStream connects, sends queries and receives answers until the stream ends. opened reports
// whether a connection was made, so that queries may have reached the sender.
func (n *Network) runStream(ctx context.Context, s *sender, address string) (opened bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return false, eris.Wrapf(err, "dial VM %s", s.vm)
	}
	conn := drpcconn.New(deadline.Conn{Conn: raw, Timeout: writeTimeout})
	defer func() { _ = conn.Close() }() // the stream has ended, so that the error is of no use
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
			return true, eris.Errorf("stream to VM %s closed: the VM was silent, its queue was full, or this VM is stopping", s.vm)
		}
	}
}

func (n *Network) receive(stream forwardpb.DRPCForward_QueriesClient, s *sender) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "receive from VM %s", s.vm)
		}
		s.lastReceived.Store(time.Now().UnixNano())
		n.handler.Event(decodeAnswer(m))
	}
}

// Stream is the stream of an entry VM that forwards queries to this one.
type Stream struct {
	queue chan *forwardpb.Answer
	done  chan struct{}
	once  sync.Once
}

// Send queues an answer without blocking. If the queue is full, since the entry VM reads too slowly,
// it ends the stream.
func (s *Stream) Send(m *forwardpb.Answer) {
	select {
	case s.queue <- m:
	default:
		s.stop()
	}
}

func (s *Stream) stop() { s.once.Do(func() { close(s.done) }) }

// Queries implements forwardpb.DRPCForwardServer. It serves the stream of an entry VM.
func (n *Network) Queries(stream forwardpb.DRPCForward_QueriesStream) error {
	s := &Stream{queue: make(chan *forwardpb.Answer, maxQueued), done: make(chan struct{})}
	defer n.handler.StreamEnded(s)
	go func() {
		defer s.stop()
		for {
			q, err := stream.Recv()
			if err != nil {
				return // usually the entry VM has closed the stream
			}
			if q.GetCancel() {
				n.handler.QueryCancelled(s, q.GetId())
				continue
			}
			n.handler.QueryReceived(s, q)
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
