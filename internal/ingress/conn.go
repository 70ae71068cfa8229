package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/intake"
)

const (
	// readAheadBytes is what net/http may read beyond the end of a head.
	readAheadBytes = 4 << 10
	// headerLineBytes is the approximate memory of a header line besides its text, in the copies of the
	// header that a request needs.
	headerLineBytes = 512
	// writeBytes is the amount of an answer to which a write timeout applies.
	writeBytes = 64 << 10
	// lingerTimeout bounds how long the input of a refused caller is discarded. Closing a connection with
	// unread input would reset it, and the caller might not see the answer.
	lingerTimeout = 500 * time.Millisecond
)

var (
	errHeadTooLarge = errors.New("the head of the request is too large")
	errTimeout      = errors.New("the request was not received in time")
)

// conn is a connection of a caller. net/http reads and writes it; Refuse, Abort and the timers come from
// other goroutines.
type conn struct {
	net.Conn
	guard *Guard
	slot  *intake.Conn
	timer *time.Timer // aborts the connection

	mu        sync.Mutex
	readError error // if set, nothing more is read
	aborted   bool
	closing   bool // an answer has been written that net/http does not know of; no other may follow
	inHead    bool // a head, or the pause before it
	headBytes int
	running   bool // a whole request has been received and its answer not been written to the end
	answering bool
	reported  bool // a refusal has been reported
}

func newConn(g *Guard, nc net.Conn) (*conn, error) {
	c := &conn{Conn: nc, guard: g, inHead: true}
	c.timer = time.AfterFunc(g.limits().IdleTimeout, c.expire)
	slot, err := g.table.Open(g.now(), c)
	if err != nil {
		c.timer.Stop()
		return nil, err
	}
	c.slot = slot
	return c, nil
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *conn) Read(p []byte) (int, error) {
	if refusal := c.refusal(); refusal != nil {
		c.answerUnfinishedHead()
		return 0, refusal
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.headGrows(p[:n])
	}
	if refusal := c.refusal(); refusal != nil {
		c.answerUnfinishedHead()
		return 0, refusal
	}
	return n, err
}

// refusal returns the error of all further reads, or nil.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readError == nil {
		return nil
	}
	// net/http closes a connection without an answer after an error of this type.
	return &net.OpError{Op: "read", Net: "tcp", Err: c.readError}
}

// headGrows counts bytes if a head is being received. The last of them may lie beyond its end.
func (c *conn) headGrows(p []byte) {
	limits := c.guard.limits()
	size, ok := c.countHead(len(p), limits.HeaderTimeout)
	switch {
	case !ok:
	case size > limits.MaxHeaderBytes+readAheadBytes:
		c.report(HeadTooLarge)
		c.stopReading(errHeadTooLarge)
	default:
		held := len(p) + headerLineBytes*bytes.Count(p, []byte{'\n'})
		if err := c.grow(int64(held)); err != nil {
			c.stopReading(err)
		}
	}
}

// grow counts n bytes of the request. The error means that the request is refused.
func (c *conn) grow(n int64) error {
	err := c.slot.Grow(n, c.guard.now())
	if err != nil {
		c.report(MemoryFull)
	}
	return err
}

// report reports the first refusal of the connection.
func (c *conn) report(cause Cause) {
	c.mu.Lock()
	first := !c.reported
	c.reported = true
	c.mu.Unlock()
	if first {
		c.guard.observe(cause, c)
	}
}

// countHead adds n bytes to the size of the head and returns the sum, or false if no head is being
// received: net/http also reads while a request runs, to learn that its caller has left.
func (c *conn) countHead(n int, timeout time.Duration) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return 0, false
	}
	if c.headBytes == 0 {
		_ = c.slot.Enter(intake.Receiving, c.guard.now()) // Grow returns the same error
		c.timer.Reset(timeout)
	}
	c.headBytes += n
	return c.headBytes, true
}

// answerUnfinishedHead answers a request that is refused before the end of its head.
func (c *conn) answerUnfinishedHead() {
	c.mu.Lock()
	unfinished, cause := c.inHead && c.headBytes > 0 && !c.aborted, c.readError
	c.inHead = false
	c.closing = c.closing || unfinished
	c.mu.Unlock()
	if !unfinished {
		return
	}
	answer := overloadedAnswer()
	if cause == errHeadTooLarge {
		answer = headTooLargeAnswer
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.Conn.Write([]byte(answer)) // an error means that the caller has left or does not read
}

// stopReading makes all reads fail with err, also one that waits.
func (c *conn) stopReading(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readError == nil {
		c.readError = err
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readError != nil {
		return nil // reads fail already and must not wait again
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It fails if the caller takes nothing for the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return 0, net.ErrClosed
	}
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.guard.cfg.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// CloseWrite is used by net/http to let a caller read an answer before its connection is closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.timer.Stop()
	c.mu.Lock()
	refused := c.readError != nil && !c.aborted
	c.mu.Unlock()
	if refused {
		c.linger()
	}
	c.slot.Close()
	return c.Conn.Close()
}

// linger discards input for a short time.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // ends with the deadline, or when the caller has closed the connection
}

// Abort implements intake.Caller.
func (c *conn) Abort() {
	c.report(Replaced)
	c.abort()
}

// expire ends a connection whose time is over. One that was idle is not a refusal.
func (c *conn) expire() {
	c.mu.Lock()
	late := c.running // the request was received while the timer fired
	idle := c.inHead && c.headBytes == 0
	c.aborted = c.aborted || !late
	c.mu.Unlock()
	if late {
		return
	}
	if !idle {
		c.report(TimedOut)
	}
	c.abort()
}

// abort closes the connection. net/http notices it and calls Close.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// Refuse implements intake.Caller.
func (c *conn) Refuse() {
	c.mu.Lock()
	answering := c.answering
	c.mu.Unlock()
	c.report(MemoryFull)
	if answering {
		c.abort()
		return
	}
	c.stopReading(intake.ErrTooManyBytes)
}

// headReceived begins the time for the body, if there is one. The error means that the request has been
// refused.
func (c *conn) headReceived(hasBody bool) error {
	if !hasBody {
		return c.received()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.timer.Reset(c.guard.cfg.BodyTimeout)
	return c.slot.Enter(intake.Receiving, c.guard.now())
}

// received ends the time for the request. The error means that the request has been refused or its time is over; it
// must not run then.
func (c *conn) received() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.timer.Stop()
	if c.aborted {
		return net.ErrClosed
	}
	if err := c.slot.Enter(intake.Running, c.guard.now()); err != nil {
		return err
	}
	c.running = true
	return nil
}

// answerBegins counts an answer of n bytes that will be written.
func (c *conn) answerBegins(n int) {
	c.mu.Lock()
	c.answering = true
	_ = c.slot.Enter(intake.Answering, c.guard.now()) // a refused request holds no memory
	c.mu.Unlock()
	c.slot.Hold(int64(n), c.guard.now())
}

// answered begins the time until the next request.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.answering = false, false
	c.inHead, c.headBytes = true, 0
	_ = c.slot.Enter(intake.Idle, c.guard.now()) // after an error the connection is closed by the next read
	c.timer.Reset(c.guard.limits().IdleTimeout)
}
