package peer

import (
	"sync"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

// maxBatch bounds the sub-requests and replies in one message, so that one message does
// not delay the next for long.
const maxBatch = 256

// sender is the common part of both ends of a traffic stream.
type sender interface {
	Send(*peerpb.TrafficMessage) error
}

// stream queues messages for one peer. One goroutine sends what has gathered while the
// previous message was written, so that batches grow with the load.
type stream struct {
	n  *Network
	vm model.VM

	mu     sync.Mutex
	queue  []*peerpb.TrafficMessage
	closed bool
	wake   chan struct{}
}

func newStream(n *Network, vm model.VM) *stream {
	return &stream{n: n, vm: vm, wake: make(chan struct{}, 1)}
}

// put queues a message and reports whether the stream still takes any.
func (s *stream) put(m *peerpb.TrafficMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.queue = append(s.queue, m)
	s.signal()
	return true
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close stops the stream and returns what was not sent.
func (s *stream) close() []*peerpb.TrafficMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	rest := s.queue
	s.queue = nil
	s.signal()
	return rest
}

// take merges queued messages into one. The second result is false after close.
func (s *stream) take() (*peerpb.TrafficMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if len(s.queue) == 0 {
		return nil, true
	}
	m := s.queue[0]
	s.queue = s.queue[1:]
	for len(s.queue) > 0 && size(m) < maxBatch {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.Requests = append(m.Requests, next.Requests...)
		m.Replies = append(m.Replies, next.Replies...)
		m.Cancels = append(m.Cancels, next.Cancels...)
	}
	return m, true
}

func size(m *peerpb.TrafficMessage) int {
	return len(m.Requests) + len(m.Replies) + len(m.Cancels)
}

// writeTo sends queued messages until the stream is closed or broken. What is still queued
// when it breaks has not been sent.
func (s *stream) writeTo(out sender) {
	for range s.wake {
		for {
			m, ok := s.take()
			if !ok {
				return
			}
			if m == nil {
				break
			}
			if out.Send(m) != nil {
				return
			}
		}
	}
}

// Requests sends sub-requests to their owner, over a connection that is opened when
// needed.
func (n *Network) Requests(to model.VM, address string, r []model.SubRequest) {
	m := &peerpb.TrafficMessage{From: string(n.cfg.Self)}
	for i := range r {
		m.Requests = append(m.Requests, subRequestToPB(&r[i]))
	}
	if !n.outgoing(to, address).put(m) {
		n.handler.SendFailed(to, r)
	}
}

// Cancels withdraws sub-requests if there is a connection to their owner.
func (n *Network) Cancels(to model.VM, c []event.Cancel) {
	m := &peerpb.TrafficMessage{From: string(n.cfg.Self)}
	for i := range c {
		m.Cancels = append(m.Cancels, cancelToPB(&c[i]))
	}
	n.mu.Lock()
	s := n.traffic[to]
	n.mu.Unlock()
	if s != nil {
		s.put(m)
	}
}

// Replies answers an entry daemon on the stream that it opened. Without one the replies are
// dropped, since the entry daemon has seen the loss of the connection.
func (n *Network) Replies(to model.VM, r []model.SubReply) {
	m := &peerpb.TrafficMessage{From: string(n.cfg.Self)}
	for i := range r {
		m.Replies = append(m.Replies, subReplyToPB(&r[i]))
	}
	n.mu.Lock()
	s := n.accepted[to]
	n.mu.Unlock()
	if s != nil {
		s.put(m)
	}
}

// outgoing returns the stream to an owner and opens it if there is none.
func (n *Network) outgoing(to model.VM, address string) *stream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.traffic[to]; ok {
		return s
	}
	s := newStream(n, to)
	if n.closed {
		s.closed = true
		return s
	}
	n.traffic[to] = s
	n.wg.Add(1)
	go n.runOutgoing(s, address)
	return s
}

// runOutgoing connects, sends and receives until the connection breaks. Sub-requests that were
// still queued then are reported as not sent; for the others the loss is reported.
func (n *Network) runOutgoing(s *stream, address string) {
	defer n.wg.Done()
	n.exchange(s, address)
	n.mu.Lock()
	delete(n.traffic, s.vm)
	n.mu.Unlock()
	var unsent []model.SubRequest
	for _, m := range s.close() {
		for _, p := range m.Requests {
			unsent = append(unsent, subRequestFromPB(p))
		}
	}
	if len(unsent) > 0 {
		n.handler.SendFailed(s.vm, unsent)
	}
	n.handler.PeerLost(s.vm)
}

func (n *Network) exchange(s *stream, address string) {
	conn, err := n.dial(n.ctx, address)
	if err != nil {
		return
	}
	defer conn.Close()
	st, err := peerpb.NewDRPCPeerClient(conn).Traffic(n.ctx)
	if err != nil {
		return
	}
	go func() {
		s.writeTo(st)
		_ = st.Close()
	}()
	for {
		msg, err := st.Recv()
		if err != nil {
			return
		}
		n.deliver(s.vm, msg)
	}
}
