package hostile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	// endlessBytes is what a caller sends of something without end.
	endlessBytes = 4 << 20
	// completeEvery is the share of callers that complete their request, as a divisor; all others stop
	// just short of the end and keep their connection open.
	completeEvery = 4
	// sendTimeout bounds a write of a hostile caller.
	sendTimeout = 20 * time.Second
)

// crowd is a number of callers of one kind.
type crowd struct {
	name   string
	size   int
	limits limits
	// send writes what caller n sends on its connection. An error means that the daemon has closed it.
	send   func(conn net.Conn, n int) error
	unread bool // the callers do not read their answers
}

// Limits of the VMs. Crowds that fill the memory have the descriptors of the users' deployments, and
// crowds that use up the descriptors have few of them.
var (
	littleMemory   = limits{memoryMB: 96, descriptors: 4100}
	fewDescriptors = limits{memoryMB: 96, descriptors: 600}
)

var crowds = []crowd{
	{name: "header over the limit", size: 300, limits: littleMemory, send: sendLargeHead},
	{name: "header lines without end", size: 300, limits: littleMemory, send: sendHead("", headerLine, endlessBytes)},
	{name: "short header lines without end", size: 300, limits: littleMemory, send: sendHead("", "a:\r\n", endlessBytes)},
	{name: "header line without end", size: 300, limits: littleMemory, send: sendHead("X-Filler: ", "x", endlessBytes)},
	{name: "target without end", size: 300, limits: littleMemory, send: sendEndless("GET /r/", "x", endlessBytes)},
	{name: "method without end", size: 300, limits: littleMemory, send: sendEndless("", "G", endlessBytes)},
	{name: "empty lines without end", size: 300, limits: littleMemory, send: sendEndless("", "\r\n", endlessBytes)},
	{name: "empty lines without end after a request", size: 300, limits: littleMemory, send: sendAfterRequest("\r\n", endlessBytes)},
	{name: "short header lines within the limit, then a body", size: 600, limits: littleMemory, send: sendLinesAndBody},
	{name: "whole bodies", size: 600, limits: littleMemory, send: sendBody(maxBodyBytes)},
	{name: "whole bodies at a silent server", size: 600, limits: littleMemory, send: sendToSilentServer},
	{name: "bodies in pieces", size: 600, limits: littleMemory, send: sendBody(4 << 10)},
	{name: "large chunks", size: 600, limits: littleMemory, send: sendChunks(64 << 10)},
	{name: "chunks of one byte", size: 600, limits: littleMemory, send: sendChunks(1)},
	{name: "connections that send nothing", size: 700, limits: fewDescriptors, send: func(net.Conn, int) error { return nil }},
	{name: "connections with half a head", size: 700, limits: fewDescriptors, send: sendHead("", "X-Filler: x\r\n", 100)},
	{name: "connections with an unfinished body", size: 700, limits: fewDescriptors, send: sendBody(100)},
	{name: "answers that are not read", size: 200, limits: littleMemory, send: sendWithoutReading(), unread: true},
	{name: "all kinds together", size: 600, limits: littleMemory, send: sendMixed},
}

// Guards against callers outside the limits, or with many unfinished requests, that end the daemon, use
// up its memory or descriptors, or keep ordinary callers from being answered.
func TestCrowds(t *testing.T) {
	daemon := buildDaemon(t)
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := startVM(t, daemon, c.limits)
			callers := c.connect(t, v.caller)
			v.waitFor("an ordinary request is answered while the crowd stays", func() bool {
				return !v.lives() || v.ordinaryRequest(http.MethodGet, safePath, "during", nil) == http.StatusOK
			})
			callers.leave()
			v.waitFor("a request of the greatest size is answered after the crowd has left", func() bool {
				return !v.lives() || v.ordinaryRequest(http.MethodPost, unsafePath, "after", make([]byte, maxBodyBytes)) == http.StatusOK
			})
			peak := v.peakUsage()
			t.Logf("peak: %d MB (%d MB resident, %d MB unread), %d descriptors; statuses %v", peak.memory>>20, peak.resident>>20,
				peak.unread>>20, peak.descriptors, callers.statuses())
			v.checkLimits(is)
			callers.checkRefusals(is, v)
		})
	}
}

// Guards against crowds at the addresses for readiness checks and metrics: the platform then takes the VM for gone.
func TestCrowdsAtSideAddresses(t *testing.T) {
	sideCrowds := []crowd{
		{name: "connections that send nothing", size: 700, limits: fewDescriptors, send: func(net.Conn, int) error { return nil }},
		{name: "head without end", size: 300, limits: littleMemory, send: sendHead("", "a:\r\n", endlessBytes)},
	}
	daemon := buildDaemon(t)
	for _, c := range sideCrowds {
		for _, side := range []string{"readiness checks", "metrics"} {
			t.Run(c.name+" at "+side, func(t *testing.T) {
				is := is.New(t)
				v := startVM(t, daemon, c.limits)
				target, url := v.ready, "http://"+v.ready+wire.ReadyPath
				if side == "metrics" {
					target, url = v.metrics, "http://"+v.metrics+"/metrics"
				}
				callers := c.connect(t, target)
				v.waitFor("all addresses answer while the crowd stays", func() bool {
					return !v.lives() || getOnce(url) == http.StatusOK && v.ordinaryRequest(http.MethodGet, safePath, "during", nil) == http.StatusOK
				})
				callers.leave()
				peak := v.peakUsage()
				t.Logf("peak: %d MB, %d descriptors; statuses %v", peak.memory>>20, peak.descriptors, callers.statuses())
				v.checkLimits(is)
			})
		}
	}
}

// callers are the connected callers of a crowd.
type callers struct {
	conns []net.Conn
	wg    sync.WaitGroup

	mu     sync.Mutex
	status map[int]int // status of the answer to a caller, by its number
}

// connect connects all callers and returns when each has sent what it sends or has been cut off.
func (c crowd) connect(t *testing.T, address string) *callers {
	t.Helper()
	all := &callers{status: make(map[int]int)}
	dialer := net.Dialer{}
	if c.unread {
		dialer.Control = smallReceiveBuffer
	}
	var sending sync.WaitGroup
	for n := range c.size {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			continue // the daemon is out of descriptors, or has ended
		}
		all.conns = append(all.conns, conn)
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = c.send(conn, n) // an error means that the daemon has closed the connection
		})
		if !c.unread {
			all.wg.Go(func() { all.read(conn, n) })
		}
	}
	sending.Wait()
	return all
}

// smallReceiveBuffer keeps the kernel from taking long answers for a caller that does not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	const receiveBytes = 4 << 10
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(err, controlErr)
}

// read records the status of the first answer and discards the rest.
func (c *callers) read(conn net.Conn, n int) {
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		c.mu.Lock()
		c.status[n] = resp.StatusCode
		c.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, in) // until the connection ends
}

// leave closes all connections.
func (c *callers) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.wg.Wait()
}

// statuses returns the number of answers by status.
func (c *callers) statuses() map[int]int {
	sum := make(map[int]int)
	for _, s := range c.status {
		sum[s]++
	}
	return sum
}

// checkRefusals checks that no request ran twice, and that none ran whose caller was told that it has
// not run.
func (c *callers) checkRefusals(is *is.I, v *vm) {
	is.Helper()
	runs := make(map[string]int)
	for _, r := range v.server.Arrivals() {
		runs[r.Header.Get(wire.RequestID)]++
	}
	for n, status := range c.status {
		id := requestID(n)
		switch status {
		case http.StatusOK:
		case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			is.Equal(runs[id], 0) // a refused request must not run
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge,
			http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			is.Equal(status, http.StatusOK) // no other status is known to callers
		}
		is.True(runs[id] <= 1)
	}
}

func requestID(n int) string { return fmt.Sprintf("crowd-%d", n) }

// requestHead returns the first lines of a request that is not idempotent, without the empty line.
func requestHead(n int) string {
	return "POST " + unsafePath + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + wire.RequestID + ": " + requestID(n) + "\r\n"
}

// writeEndless writes unit again and again, total bytes in all.
func writeEndless(w io.Writer, unit string, total int) error {
	const blockBytes = 64 << 10
	block := bytes.Repeat([]byte(unit), max(blockBytes/len(unit), 1))
	for sent := 0; sent < total; sent += len(block) {
		if _, err := w.Write(block[:min(len(block), total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// sendHead sends a request line, then start, then unit again and again, and does not end the head.
func sendHead(start, unit string, total int) func(net.Conn, int) error {
	return func(conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, requestHead(n)+start); err != nil {
			return err
		}
		return writeEndless(conn, unit, total)
	}
}

// headerLine is a header line of 98 bytes.
var headerLine = "X-Filler: " + strings.Repeat("x", 86) + "\r\n"

// sendLargeHead sends a head that is larger than the limit. Every completeEvery-th caller ends it.
func sendLargeHead(conn net.Conn, n int) error {
	const headBytes = 960 << 10
	if err := sendHead("", headerLine, headBytes/len(headerLine)*len(headerLine))(conn, n); err != nil {
		return err
	}
	if n%completeEvery != 0 {
		return nil
	}
	_, err := io.WriteString(conn, "\r\n")
	return err
}

// sendEndless sends start and then unit again and again.
func sendEndless(start, unit string, total int) func(net.Conn, int) error {
	return func(conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, start); err != nil {
			return err
		}
		return writeEndless(conn, unit, total)
	}
}

// sendAfterRequest sends a whole request and then unit again and again.
func sendAfterRequest(unit string, total int) func(net.Conn, int) error {
	return func(conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, requestHead(n)+"Content-Length: 1\r\n\r\nx"); err != nil {
			return err
		}
		return writeEndless(conn, unit, total)
	}
}

// bodyLength returns how much of a body of the greatest size caller n sends.
func bodyLength(n int) int {
	if n%completeEvery == 0 {
		return maxBodyBytes
	}
	return maxBodyBytes - 1
}

// sendBody sends a body of stated length in pieces.
func sendBody(piece int) func(net.Conn, int) error {
	return func(conn net.Conn, n int) error {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", requestHead(n), maxBodyBytes); err != nil {
			return err
		}
		return writePieces(conn, bodyLength(n), piece)
	}
}

// sendToSilentServer sends a whole request that the backend server does not answer.
func sendToSilentServer(conn net.Conn, n int) error {
	head := strings.Replace(requestHead(n), unsafePath, silentPath, 1)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, maxBodyBytes); err != nil {
		return err
	}
	return writePieces(conn, maxBodyBytes, maxBodyBytes)
}

func writePieces(w io.Writer, total, piece int) error {
	data := make([]byte, piece)
	for sent := 0; sent < total; sent += piece {
		if _, err := w.Write(data[:min(piece, total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunks sends a body in chunks of a size. A caller that does not complete its request leaves out the last chunk.
func sendChunks(size int) func(net.Conn, int) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return func(conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, requestHead(n)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		if err := writeEndless(conn, chunk, maxBodyBytes/size*len(chunk)); err != nil {
			return err
		}
		if n%completeEvery != 0 {
			return nil
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
}

// sendLinesAndBody sends a header of many short lines that keeps to the limit, and a body.
func sendLinesAndBody(conn net.Conn, n int) error {
	var lines strings.Builder
	for i := 0; lines.Len() < maxHeaderBytes-512; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	if _, err := io.WriteString(conn, requestHead(n)+lines.String()); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", maxBodyBytes); err != nil {
		return err
	}
	return writePieces(conn, bodyLength(n), maxBodyBytes)
}

// sendWithoutReading requests long answers, more than the kernel holds, as soon as the first answer to the
// caller before has begun, and reads only one byte.
func sendWithoutReading() func(net.Conn, int) error {
	const requests = 8
	var turn sync.Mutex
	return func(conn net.Conn, n int) error {
		turn.Lock()
		defer turn.Unlock()
		for i := range requests {
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n\r\n", longPath, platformtest.Host, wire.RequestID, requestID(n), i)
			if err != nil {
				return err
			}
		}
		_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
}

// sendMixed sends what the callers of another crowd send.
func sendMixed(conn net.Conn, n int) error {
	kinds := []func(net.Conn, int) error{
		sendHead("", "X-Filler: x\r\n", endlessBytes),
		sendHead("X-Filler: ", "x", endlessBytes),
		sendEndless("", "\r\n", endlessBytes),
		sendBody(maxBodyBytes),
		sendBody(4 << 10),
		sendChunks(64 << 10),
		sendChunks(1),
	}
	return kinds[n%len(kinds)](conn, n)
}
