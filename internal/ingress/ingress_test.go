package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrylock/gooseberrylock/core/intake"
	"github.com/gooseberrylock/gooseberrylock/internal/chunkbuf"
)

// waitTimeout bounds the waits of the tests.
const waitTimeout = 10 * time.Second

// server is an HTTP server behind a guard. It answers a request with the size of its body, or with the error of
// ReadBody.
type server struct {
	t       *testing.T
	guard   *Guard
	address string
	ran     atomic.Int64 // requests received completely
	run     func(w http.ResponseWriter, r *http.Request)

	bodyTimeout time.Duration
}

const maxBody = 100 << 10

func testConfig() Config {
	return Config{
		Intake:       intake.Config{MaxConns: 100, MaxBytes: 1 << 20},
		BodyTimeout:  waitTimeout,
		WriteTimeout: waitTimeout,
		Limits:       func() Limits { return Limits{MaxHeaderBytes: 1000} },
	}
}

func newServer(t *testing.T, cfg Config) *server {
	t.Helper()
	is := is.New(t)
	guard, err := New(cfg)
	is.NoErr(err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &server{t: t, guard: guard, address: lis.Addr().String(), bodyTimeout: waitTimeout}
	s.run = func(http.ResponseWriter, *http.Request) {}
	srv := &http.Server{Handler: s}
	served := make(chan error, 1)
	go func() { served <- guard.Serve(srv, lis) }()
	t.Cleanup(func() {
		_ = srv.Close()
		is.True(errors.Is(<-served, http.ErrServerClosed))
	})
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, maxBody, s.bodyTimeout)
	switch {
	case errors.Is(err, ErrOverloaded):
		Overloaded(w)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		s.ran.Add(1)
		s.run(w, r)
		_, _ = fmt.Fprint(w, len(body)) // an error means that the caller has left
	}
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial() *caller {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return &caller{Conn: conn, in: bufio.NewReader(conn)}
}

// send writes text. The server may have closed the connection.
func (c *caller) send(text string) { _, _ = io.WriteString(c, text) }

// post returns a request whose body has the length stated and is cut short by missing bytes.
func post(length, missing int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-missing))
}

// answer reads an answer and returns its status and body.
func (c *caller) answer(is *is.I) (*http.Response, string) {
	is.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, string(body)
}

// ended reports whether the server has closed the connection and sent nothing more.
func (c *caller) ended() bool {
	n, err := c.in.Read(make([]byte, 1))
	return n == 0 && err == io.EOF
}

// Guards against a head over the limit that is read on, against a caller that does not see why it was
// refused, and against a head within the limit that is refused.
func TestHeadLimit(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		want  int
	}{
		{"within the limit", 900, http.StatusOK},
		{"over the limit", 100 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"over the limit by far", 8 << 20, http.StatusRequestHeaderFieldsTooLarge},
	}
	s := newServer(t, testConfig())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := s.dial()
			start := "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: "
			go c.send(start + strings.Repeat("x", tt.bytes-len(start)-4) + "\r\n\r\n")
			resp, _ := c.answer(is)
			is.Equal(resp.StatusCode, tt.want)
			if tt.want != http.StatusOK {
				is.True(c.ended())
			}
		})
	}
}

// Guards against a request that is lost or counted as part of the one before when a caller sends several
// without waiting.
func TestRequestsSentTogether(t *testing.T) {
	is := is.New(t)
	s := newServer(t, testConfig())
	c := s.dial()
	for range 50 {
		c.send(post(10, 0) + "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + post(maxBody, 0))
		for _, want := range []string{"10", "0", fmt.Sprint(maxBody)} {
			_, body := c.answer(is)
			is.Equal(body, want)
		}
	}
}

// Guards against bodies of stated and of unknown length that are cut, mixed up or accepted beyond the limit.
func TestBodies(t *testing.T) {
	tests := []struct {
		name, request, want string
		status              int
	}{
		{"none", post(0, 0), "0", http.StatusOK},
		{"short", post(1, 0), "1", http.StatusOK},
		{"of one chunk", post(chunkbuf.ChunkBytes, 0), fmt.Sprint(chunkbuf.ChunkBytes), http.StatusOK},
		{"longer than one chunk", post(chunkbuf.ChunkBytes+1, 0), fmt.Sprint(chunkbuf.ChunkBytes + 1), http.StatusOK},
		{"of the greatest length", post(maxBody, 0), fmt.Sprint(maxBody), http.StatusOK},
		{"too long", post(maxBody+1, 0), ErrBodyTooLarge.Error() + "\n", http.StatusBadRequest},
		{"in chunks", chunked(maxBody, 100), fmt.Sprint(maxBody), http.StatusOK},
		{"in chunks of one byte", chunked(maxBody, 1), fmt.Sprint(maxBody), http.StatusOK},
		{"in chunks and too long", chunked(maxBody+1000, 1000), ErrBodyTooLarge.Error() + "\n", http.StatusBadRequest},
	}
	s := newServer(t, testConfig())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := s.dial()
			go c.send(tt.request)
			resp, body := c.answer(is)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(body, tt.want)
		})
	}
}

func chunked(total, size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, total/size) + "0\r\n\r\n"
}

// Guards against a caller that stops in the middle of its request and keeps the memory from others, and
// against a refusal that is not true: the refused request must not run.
func TestUnfinishedRequestsAreRefusedForOthers(t *testing.T) {
	tests := []struct{ name, request string }{
		{"body", post(maxBody, 1)},
		{"head", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 200)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := testConfig()
			cfg.Intake.MaxBytes = maxBody + 32<<10
			s := newServer(t, cfg)
			stopped := s.dial()
			stopped.send(tt.request)
			is.True(s.holds(int64(len(tt.request)) / 2))
			other := s.dial()
			go other.send(post(maxBody, 0))
			_, body := other.answer(is)
			is.Equal(body, fmt.Sprint(maxBody))
			resp, _ := stopped.answer(is)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			stopped.send("x\r\n\r\n")
			is.True(stopped.ended())
			is.Equal(s.ran.Load(), int64(1))
		})
	}
}

// holds waits until the requests hold at least n bytes.
func (s *server) holds(n int64) bool {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if s.guard.table.Usage().Bytes >= n {
			return true
		}
	}
	return false
}

// Guards against memory that stays counted after its request has ended in any way.
func TestMemoryIsReturned(t *testing.T) {
	tests := []struct {
		name, request string
		answered      bool
	}{
		{"answered", post(maxBody, 0), true},
		{"refused", post(maxBody+1, 0), true},
		{"caller left in the body", post(maxBody, 1), false},
		{"caller left in the head", "GET / HTTP/1.1\r\n", false},
	}
	s := newServer(t, testConfig())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := s.dial()
			go c.send(tt.request)
			if tt.answered {
				c.answer(is)
			} else {
				is.True(s.holds(1))
			}
			_ = c.Close()
			for deadline := time.Now().Add(waitTimeout); s.guard.table.Usage().Bytes > 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(s.guard.table.Usage().Bytes, int64(0))
		})
	}
}

// Guards against a caller that keeps a handler by not reading its answer.
func TestUnreadAnswerEnds(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.WriteTimeout = 100 * time.Millisecond
	s := newServer(t, cfg)
	written := make(chan error, 1)
	s.run = func(w http.ResponseWriter, r *http.Request) {
		const longer = 64 << 20 // than all buffers of the kernel
		BeginAnswer(r, longer)
		_, err := w.Write(make([]byte, longer))
		written <- err
	}
	s.dial().send(post(0, 0))
	select {
	case err := <-written:
		is.True(err != nil)
	case <-time.After(waitTimeout):
		t.Fatal("the write has not ended")
	}
}

// Guards against a timer of an idle connection, or of a head or body, that fires while the last byte of a request
// arrives: the request must not be sent to a server on a connection that is then closed without an answer.
func TestTimerAndLastByte(t *testing.T) {
	for _, request := range []string{post(0, 0), post(10, 0), post(maxBody, 0)} {
		t.Run(fmt.Sprintf("%d bytes, timer after the request", len(request)), func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, testConfig())
			s.run = func(_ http.ResponseWriter, r *http.Request) {
				connOf(r).expire()
				is.NoErr(r.Context().Err())
			}
			c := s.dial()
			go c.send(request + post(0, 0))
			for range 2 {
				resp, _ := c.answer(is)
				is.Equal(resp.StatusCode, http.StatusOK)
			}
		})
	}
}

// Guards against refusals that nobody is told of, and against counting callers that were only idle.
func TestRefusalsAreCounted(t *testing.T) {
	tests := []struct {
		name    string
		request string
		refused Cause
		none    bool
	}{
		{name: "idle", none: true},
		{name: "served and idle", request: post(10, 0), none: true},
		{name: "half a head", request: "GET / HT", refused: TimedOut},
		{name: "half a body", request: post(10, 5), refused: TimedOut},
		{name: "large head", request: "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 10_000), refused: HeadTooLarge},
		{name: "large body", request: post(maxBody+1, 0), refused: BodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			registry := metrics.NewRegistry()
			meters := NewMeters(registry, "callers")
			cfg := testConfig()
			cfg.Observe = meters.Observe
			cfg.Limits = func() Limits {
				return Limits{MaxHeaderBytes: 1000, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
			}
			s := newServer(t, cfg)
			s.bodyTimeout = 50 * time.Millisecond
			c := s.dial()
			go c.send(tt.request)
			_, _ = io.Copy(io.Discard, c) // until the server has closed the connection
			for _, cause := range Causes() {
				want := int64(0)
				if !tt.none && cause == tt.refused {
					want = 1
				}
				is.Equal(registry.Get("callers.refused."+cause.String()).(metrics.Counter).Count(), want)
			}
		})
	}
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(testConfig().Validate())
	for _, change := range []func(*Config){
		func(c *Config) { c.BodyTimeout = 0 },
		func(c *Config) { c.WriteTimeout = -1 },
		func(c *Config) { c.Limits = nil },
		func(c *Config) { c.Intake.MaxConns = 0 },
	} {
		cfg := testConfig()
		change(&cfg)
		_, err := New(cfg)
		is.True(err != nil)
	}
}
