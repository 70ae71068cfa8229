package peer

import (
	"sync"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

const (
	// maxBatch bounds the sub-requests and replies in one message, so that one message does
	// not delay the next for long.
	maxBatch = 256
	// maxBatchBytes stops a batch from growing further; replies can carry large hits.
	maxBatchBytes = 1 << 20
	// maxQueuedBytes bounds what waits for one peer. A peer that falls further behind is
	// treated like a lost one.
	maxQueuedBytes = 64 << 20
	// itemOverhead is a rough size of a sub-request or reply without payload and hits, in bytes.
	itemOverhead = 128
)

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
	queue  []queued
	bytes  int // weight of the queue
	closed bool
	wake   chan struct{}
}

// queued is a message with its weight in bytes.
type queued struct {
	m      *peerpb.TrafficMessage
	weight int
}

func newStream(n *Network, vm model.VM) *stream {
	return &stream{n: n, vm: vm, wake: make(chan struct{}, 1)}
}

// put queues a message and reports whether the stream still takes any. A full queue ends the
// stream.
func (s *stream) put(m *peerpb.TrafficMessage) bool {
	q := queued{m: m, weight: weight(m)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.signal()
	if s.bytes+q.weight > maxQueuedBytes && s.bytes > 0 {
		s.closed = true
		return false
	}
	s.queue = append(s.queue, q)
	s.bytes += q.weight
	return true
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// end makes the stream take no more messages, which ends its connection.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.signal()
}

// close stops the stream and returns what was not sent.
func (s *stream) close() []queued {
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.queue
	s.queue, s.bytes = nil, 0
	return rest
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
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
	first := s.pop()
	m, bytes := first.m, first.weight
	for len(s.queue) > 0 && size(m) < maxBatch && bytes < maxBatchBytes {
		next := s.pop()
		bytes += next.weight
		m.Requests = append(m.Requests, next.m.Requests...)
		m.Replies = append(m.Replies, next.m.Replies...)
		m.Cancels = append(m.Cancels, next.m.Cancels...)
	}
	return m, true
}

// pop takes the first message. The caller holds the lock.
func (s *stream) pop() queued {
	q := s.queue[0]
	s.queue[0] = queued{}
	s.queue = s.queue[1:]
	s.bytes -= q.weight
	return q
}

func size(m *peerpb.TrafficMessage) int {
	return len(m.Requests) + len(m.Replies) + len(m.Cancels)
}

// weight estimates the memory that a message takes, in bytes.
func weight(m *peerpb.TrafficMessage) int {
	n := itemOverhead * size(m)
	for _, r := range m.Requests {
		n += len(r.Payload)
	}
	for _, r := range m.Replies {
		for _, h := range r.Hits {
			n += itemOverhead + len(h.Document) + len(h.Body)
		}
	}
	return n
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
	m := &peerpb.TrafficMessage{
		From:     string(n.cfg.Self),
		Requests: make([]*peerpb.SubRequest, 0, len(r)),
	}
	for i := range r {
		m.Requests = append(m.Requests, subRequestToPB(&r[i]))
	}
	if !n.outgoing(to, address).put(m) {
		n.handler.SendFailed(to, r)
	}
}

// Cancels withdraws sub-requests if there is a connection to their owner.
func (n *Network) Cancels(to model.VM, c []event.Cancel) {
	m := &peerpb.TrafficMessage{
		From:    string(n.cfg.Self),
		Cancels: make([]*peerpb.Cancel, 0, len(c)),
	}
	for i := range c {
		m.Cancels = append(m.Cancels, cancelToPB(&c[i]))
	}
	n.putIfOpen(n.traffic, to, m)
}

// Replies answers an entry daemon on the stream that it opened. Without one the replies are
// dropped, since the entry daemon has seen the loss of the connection.
func (n *Network) Replies(to model.VM, r []model.SubReply) {
	m := &peerpb.TrafficMessage{
		From:    string(n.cfg.Self),
		Replies: make([]*peerpb.SubReply, 0, len(r)),
	}
	for i := range r {
		m.Replies = append(m.Replies, subReplyToPB(&r[i]))
	}
	n.putIfOpen(n.accepted, to, m)
}

// putIfOpen queues a message on the stream with a peer, if there is one. The maps of streams
// are never replaced, only their contents change under the lock.
func (n *Network) putIfOpen(streams map[model.VM]*stream, to model.VM, m *peerpb.TrafficMessage) {
	n.mu.Lock()
	s := streams[to]
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
// still queued then are reported as not sent; for the others the loss is reported. Until both
// are reported, no new stream to the peer is opened.
func (n *Network) runOutgoing(s *stream, address string) {
	defer n.wg.Done()
	connected := n.exchange(s, address)
	var unsent []model.SubRequest
	for _, q := range s.close() {
		for _, p := range q.m.Requests {
			unsent = append(unsent, subRequestFromPB(p))
		}
	}
	if len(unsent) > 0 {
		n.handler.SendFailed(s.vm, unsent)
	}
	if connected {
		n.handler.PeerLost(s.vm, event.ConnectionOut)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.traffic, s.vm)
}

// exchange reports whether there was a connection, so that something may have been sent.
func (n *Network) exchange(s *stream, address string) bool {
	conn, err := n.dial(n.ctx, address)
	if err != nil {
		return false
	}
	defer conn.Close()
	st, err := peerpb.NewDRPCPeerClient(conn).Traffic(n.ctx)
	if err != nil {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		s.writeTo(st)
		_ = st.Close()
	}()
	for {
		msg, err := st.Recv()
		if err != nil {
			return true
		}
		n.deliver(s.vm, msg)
	}
}
