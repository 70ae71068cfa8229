// Package rawserver is a server for tests that answers with any bytes, also with bytes without end.
package rawserver

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"runtime/metrics"
	"strings"
	"testing"
	"time"
)

// Reply writes the reply to one request. The connection is closed if it returns an error.
type Reply func(conn net.Conn, r *http.Request) error

// Start serves on loopback until the test ends, and returns the address.
func Start(t *testing.T, reply Reply) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn, reply)
		}
	}()
	return lis.Addr().String()
}

func serve(conn net.Conn, reply Reply) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if err := reply(conn, r); err != nil {
			return
		}
	}
}

// Endless returns a Reply of head and then unit again and again until the client closes the connection. ID in
// head stands for the value of the request's header idHeader.
func Endless(head, unit, idHeader string) Reply {
	const blockBytes = 64 << 10
	block := bytes.Repeat([]byte(unit), max(blockBytes/len(unit), 1))
	return func(conn net.Conn, r *http.Request) error {
		head := strings.ReplaceAll(head, "ID", r.Header.Get(idHeader))
		if _, err := conn.Write([]byte(head)); err != nil {
			return err
		}
		for {
			if _, err := conn.Write(block); err != nil {
				return err
			}
		}
	}
}

// EndlessReply is an answer without end: Head, and then Unit again and again.
type EndlessReply struct{ Name, Head, Unit string }

// EndlessReplies returns kinds of answers without end to a call that is answered with JSON. bodyStart is the start
// of a body and unit can follow it any number of times.
func EndlessReplies(bodyStart, unit string) []EndlessReply {
	const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	chunk := func(s string) string { return "Transfer-Encoding: chunked\r\n\r\n" + s }
	return []EndlessReply{
		{"header lines", okHead, "X-Filler: 0123456789012345678901234567890123456789\r\n"},
		{"short header lines", okHead, "a:\r\n"},
		{"one header line", okHead + "X-Filler: ", "x"},
		{"bytes that are no answer", "", "\x00\x01garbage"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body until the connection ends", okHead + "\r\n" + bodyStart, unit},
		{"body of a stated length", okHead + "Content-Length: 9000000000\r\n\r\n" + bodyStart, unit},
		{"small chunks", okHead + chunk(""), "10\r\n0123456789abcdef\r\n"},
		{"chunk extension", okHead + chunk("1;"), "x"},
		{"trailers", okHead + chunk("0\r\n"), "X-Filler: 0123456789\r\n"},
		{"body of a failure", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n" + bodyStart, unit},
	}
}

// HeapPeak returns the largest size of the heap's objects, in bytes, while f runs.
func HeapPeak(f func()) uint64 {
	done := make(chan struct{})
	go func() { f(); close(done) }()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	peak := uint64(0)
	for {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}
