package peer

import (
	"sync"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

const (
	// maxBatch is the number of sub-requests, replies and cancels at which a message is no longer
	// merged with the next one, since a large message delays the following ones.
	maxBatch = 256
	// maxBatchBytes is the estimated size at which a message is no longer merged with the next
	// one. It is needed besides maxBatch, since replies can carry large hits.
	maxBatchBytes = 1 << 20
	// maxQueuedBytes bounds the estimated size of the messages queued for one peer. Beyond it
	// the stream is closed and the peer treated as lost.
	maxQueuedBytes = 64 << 20
	// itemOverhead is the estimated size in bytes of a sub-request, reply or cancel without its
	// payload and hits, and of a hit without its contents.
	itemOverhead = 128
)

// messageSender is implemented by the client's and the server's end of a traffic stream.
type messageSender interface {
	Send(*peerpb.TrafficMessage) error
}

// stream queues messages for one peer. One goroutine writes them, and merges the messages that
// were queued while it wrote the previous one; batches therefore grow with the load.
type stream struct {
	n  *Network
	vm model.VM

	mu          sync.Mutex
	queue       []queuedMessage
	queuedBytes int // estimated size of the queue
	closed      bool
	wake        chan struct{}
}

// queuedMessage is a message with its estimated size in bytes.
type queuedMessage struct {
	message *peerpb.TrafficMessage
	bytes   int
}

func newStream(n *Network, vm model.VM) *stream {
	return &stream{n: n, vm: vm, wake: make(chan struct{}, 1)}
}

// enqueue queues a message and reports whether it was accepted. A message that would exceed
// maxQueuedBytes closes the stream; an empty queue accepts a message of any size.
func (s *stream) enqueue(m *peerpb.TrafficMessage) bool {
	q := queuedMessage{message: m, bytes: estimateBytes(m)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.signal()
	if s.queuedBytes+q.bytes > maxQueuedBytes && s.queuedBytes > 0 {
		s.closed = true
		return false
	}
	s.queue = append(s.queue, q)
	s.queuedBytes += q.bytes
	return true
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// stop closes the stream to further messages. Its writer then ends and closes the connection.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.signal()
}

// close stops the stream and returns the messages that were not sent.
func (s *stream) close() []queuedMessage {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.queue
	s.queue, s.queuedBytes = nil, 0
	return rest
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// nextBatch removes messages from the queue and merges them into one. It returns nil if the
// queue is empty. The second result is false once the stream is closed.
func (s *stream) nextBatch() (*peerpb.TrafficMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if len(s.queue) == 0 {
		return nil, true
	}
	first := s.dequeue()
	m, bytes := first.message, first.bytes
	for len(s.queue) > 0 && itemCount(m) < maxBatch && bytes < maxBatchBytes {
		next := s.dequeue()
		bytes += next.bytes
		m.Requests = append(m.Requests, next.message.Requests...)
		m.Replies = append(m.Replies, next.message.Replies...)
		m.Cancels = append(m.Cancels, next.message.Cancels...)
	}
	return m, true
}

// dequeue removes and returns the first message. The caller holds s.mu, and the queue is not
// empty.
func (s *stream) dequeue() queuedMessage {
	q := s.queue[0]
	s.queue[0] = queuedMessage{}
	s.queue = s.queue[1:]
	s.queuedBytes -= q.bytes
	return q
}

func itemCount(m *peerpb.TrafficMessage) int {
	return len(m.Requests) + len(m.Replies) + len(m.Cancels)
}

// estimateBytes estimates the memory that a message occupies.
func estimateBytes(m *peerpb.TrafficMessage) int {
	n := itemOverhead * itemCount(m)
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

// writeTo sends queued messages until the stream is closed or a write fails. Messages that are
// then still in the queue have not been sent.
func (s *stream) writeTo(out messageSender) {
	for range s.wake {
		for {
			m, ok := s.nextBatch()
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

// SendRequests queues sub-requests for their owner and opens a connection if there is none. If they
// cannot be queued, it calls Handler.SendFailed before it returns.
func (n *Network) SendRequests(to model.VM, address string, r []model.SubRequest) {
	m := &peerpb.TrafficMessage{
		From:     string(n.cfg.Self),
		Requests: make([]*peerpb.SubRequest, 0, len(r)),
	}
	for i := range r {
		m.Requests = append(m.Requests, subRequestToPB(&r[i]))
	}
	if !n.outgoingStream(to, address).enqueue(m) {
		n.handler.SendFailed(to, r)
	}
}

// SendCancels queues cancels of sub-requests for their owner. Without a connection they are dropped,
// since the loss of the connection cancels the sub-requests as well.
func (n *Network) SendCancels(to model.VM, c []event.Cancel) {
	m := &peerpb.TrafficMessage{
		From:    string(n.cfg.Self),
		Cancels: make([]*peerpb.Cancel, 0, len(c)),
	}
	for i := range c {
		m.Cancels = append(m.Cancels, cancelToPB(&c[i]))
	}
	n.enqueueIfOpen(n.traffic, to, m)
}

// SendReplies queues replies for an entry daemon on the stream that it opened. Without a stream they
// are dropped, since the entry daemon has already noticed the loss of the connection.
func (n *Network) SendReplies(to model.VM, r []model.SubReply) {
	m := &peerpb.TrafficMessage{
		From:    string(n.cfg.Self),
		Replies: make([]*peerpb.SubReply, 0, len(r)),
	}
	for i := range r {
		m.Replies = append(m.Replies, subReplyToPB(&r[i]))
	}
	n.enqueueIfOpen(n.accepted, to, m)
}

// enqueueIfOpen queues a message on the stream with a peer, if there is one. streams is
// n.traffic or n.accepted: these maps are never replaced, and n.mu guards their contents.
func (n *Network) enqueueIfOpen(streams map[model.VM]*stream, to model.VM, m *peerpb.TrafficMessage) {
	n.mu.Lock()
	s := streams[to]
	n.mu.Unlock()
	if s != nil {
		s.enqueue(m)
	}
}

// outgoingStream returns the stream to an owner and opens one if there is none. If the
// network is closed, the new stream is closed too.
func (n *Network) outgoingStream(to model.VM, address string) *stream {
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
	go n.runOutgoingStream(s, address)
	return s
}

// runOutgoingStream connects, sends and receives until the connection breaks. It then reports the
// sub-requests that are still queued as not sent, and the loss of the connection, which concerns
// the sent ones. Only after both reports can a new stream to the peer be opened.
func (n *Network) runOutgoingStream(s *stream, address string) {
	defer n.wg.Done()
	connected := n.exchange(s, address)
	var unsent []model.SubRequest
	for _, q := range s.close() {
		for _, p := range q.message.Requests {
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

// exchange sends and receives on a new connection until it breaks. It reports whether the stream
// was opened, so that messages may have been sent.
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
