// Package answers reads the answers of HTTP servers within limits on memory. A faulty server may send a head or a
// body without end.
package answers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gooseberrylock/gooseberrylock/core/quota"
	"github.com/gooseberrylock/gooseberrylock/internal/chunkbuf"
)

// MaxHeaderBytes is the limit on the head of an answer, for http.Transport.MaxResponseHeaderBytes.
const MaxHeaderBytes = 64 << 10

// ReadBody reads a body of at most limit bytes. The memory in use meanwhile counts against the pool. If the
// pool is full and this body is the largest, its memory is freed at once and abort is called, which must end
// the read. The error wraps quota.ErrReplyTooLarge or quota.ErrPoolFull, or is that of the read.
func ReadBody(body io.Reader, pool *quota.Pool, limit int64, abort func()) ([]byte, error) {
	buffer := &chunkbuf.Buffer{}
	defer buffer.Release()
	share := pool.Open(limit, func() {
		buffer.Release()
		abort()
	})
	defer share.Close()
	return buffer.Collect(body, share.Grow)
}

// Transport is an http.RoundTripper that reads the whole body of each answer within the limits of a pool. An
// answer beyond them is an error, and its connection is closed.
type Transport struct {
	Next http.RoundTripper
	Pool *quota.Pool
	// PerBody is the most bytes that one body may have.
	PerBody int64
}

// NewTransport returns a Transport whose unfinished bodies stay within the limits together. The limits must be
// valid.
func NewTransport(next http.RoundTripper, limits quota.Config) *Transport {
	return &Transport{Next: next, Pool: quota.New(limits), PerBody: limits.PerReply}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	resp, err := t.Next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := ReadBody(resp.Body, t.Pool, t.PerBody, func() { cancel(quota.ErrPoolFull) })
	if err != nil {
		return nil, eris.Wrap(cause(ctx, err), "read the answer")
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	return resp, nil
}

// cause returns why the read of a body has ended, which is not its error if the pool ended it.
func cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), quota.ErrPoolFull) {
		return quota.ErrPoolFull
	}
	return err
}
