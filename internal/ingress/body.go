package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/intake"
	"github.com/gooseberrylock/gooseberrylock/internal/chunkbuf"
)

// The errors of ReadBody. Another error means that the body is not valid or the caller has left.
var (
	// ErrBodyTooLarge means that the body exceeds its limit.
	ErrBodyTooLarge = errors.New("the body is too large")
	// ErrBodyTimeout means that the body was not complete in time.
	ErrBodyTimeout = errors.New("the body was not received in time")
	// ErrOverloaded means that the memory for requests is used up. The request has not run; it can be
	// answered with Overloaded.
	ErrOverloaded = errors.New("too many unfinished requests")
)

// ReadBody reads the body of a request of at most maxBytes bytes within a timeout. After an error, the
// connection is closed after the answer.
func ReadBody(r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		return nil, errors.New("the request was not received through a guard")
	}
	body, err := c.readBody(r, maxBytes, timeout)
	if err == nil && c.received() != nil {
		err = ErrOverloaded
	}
	if err != nil {
		c.stopReading(err)
		c.observeBody(err)
		return nil, err
	}
	return body, nil
}

// observeBody reports an error of ReadBody. ErrOverloaded has been reported where it arose.
func (c *conn) observeBody(err error) {
	switch err {
	case ErrBodyTooLarge:
		c.report(BodyTooLarge)
	case ErrBodyTimeout:
		c.report(TimedOut)
	}
}

func (c *conn) readBody(r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > maxBytes {
		return nil, ErrBodyTooLarge
	}
	c.timer.Stop()
	expiry := time.AfterFunc(timeout, func() { c.stopReading(errTimeout) })
	body, err := c.collectBody(r.Body, r.ContentLength, maxBytes)
	if !expiry.Stop() && err == nil {
		err = errTimeout // reads fail from now on, so the request cannot be answered in order
	}
	switch {
	case errors.Is(err, errTimeout):
		return nil, ErrBodyTimeout
	case errors.Is(err, intake.ErrTooManyBytes):
		return nil, ErrOverloaded
	}
	return body, err
}

// collectBody reads a body. length is -1 if it is not stated.
func (c *conn) collectBody(in io.Reader, length, maxBytes int64) ([]byte, error) {
	if length >= 0 && length <= chunkbuf.ChunkBytes {
		return c.collectShort(in, length)
	}
	buffer := &chunkbuf.Buffer{}
	defer buffer.Release()
	body, err := buffer.Collect(io.LimitReader(in, maxBytes+1), c.grow)
	if int64(len(body)) > maxBytes {
		return nil, ErrBodyTooLarge
	}
	return body, err
}

// collectShort reads a body of a stated length that fits into one chunk.
func (c *conn) collectShort(in io.Reader, length int64) ([]byte, error) {
	if err := c.grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return body, err
}

// BeginAnswer must be called before an answer with a body of n bytes is written. The body's memory counts until
// the caller has taken it.
func BeginAnswer(r *http.Request, n int) {
	if c := connOf(r); c != nil {
		c.answerBegins(n)
	}
}
