package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode tells how a proxy treats its connections.
type mode string

const (
	modePass    mode = "pass"
	modeDelay   mode = "delay"   // every block of data is delayed
	modeReset   mode = "reset"   // open and new connections are reset
	modeSilent  mode = "silent"  // no data passes in either direction
	modeOneWay  mode = "one_way" // no data passes from the target to the client
	modeRefused mode = "refused" // new connections are reset, open ones stay
)

var faultModes = []mode{modeDelay, modeReset, modeSilent, modeOneWay, modeRefused}

const (
	maxProxyDelay       = 150 * time.Millisecond
	blockedPollInterval = 10 * time.Millisecond
)

// proxy relays connections from a loopback address to a target address, with the faults of its mode.
type proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	muted map[net.Conn]bool // those of which no data passes any more
}

func newProxy(address, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, mode: modePass, conns: make(map[net.Conn]bool), muted: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

func (p *proxy) close() {
	_ = p.lis.Close()
	p.setMode(modeReset)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode. Open connections are reset on a change to modeReset, and on a change from
// a mode that blocks data, so that a connection that was blocked is not used again.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasBlocking := p.mode == modeSilent || p.mode == modeOneWay
	p.mode = m
	if m != modeReset && !wasBlocking {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// muteOpen makes the open connections go silent for good. New ones work.
func (p *proxy) muteOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.muted[c] = true
	}
}

func (p *proxy) isMuted(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted[c]
}

// reset closes a connection so that the peer sees a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if this fails, the connection is closed without a reset
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return // the listener is closed
		}
		if m := p.currentMode(); m == modeReset || m == modeRefused {
			reset(in)
			continue
		}
		go p.relay(in)
	}
}

func (p *proxy) relay(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(out, in, false) })
	wg.Go(func() { p.copyDirection(in, out, true) })
	wg.Wait()
	p.mu.Lock()
	for _, c := range []net.Conn{in, out} {
		delete(p.conns, c)
		delete(p.muted, c)
	}
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// copyDirection relays the data from src to dst; back tells whether src is the target.
func (p *proxy) copyDirection(dst, src net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for p.blocked(back) {
			time.Sleep(blockedPollInterval)
		}
		if p.currentMode() == modeDelay {
			time.Sleep(rand.N(maxProxyDelay))
		}
		if n > 0 && !p.isMuted(src) {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the goroutine of the other direction closes that one
			}
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

func (p *proxy) blocked(back bool) bool {
	m := p.currentMode()
	return m == modeSilent || m == modeOneWay && back
}
