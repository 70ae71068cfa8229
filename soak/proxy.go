package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode string

const (
	modePass    mode = "pass"
	modeDelay   mode = "delay"   // every piece is late
	modeReset   mode = "reset"   // connections are reset, new ones too
	modeSilent  mode = "silent"  // nothing gets through in either direction
	modeOneWay  mode = "one_way" // nothing gets back
	modeRefused mode = "refused" // connections are closed as soon as they are accepted
)

var faultModes = []mode{modeDelay, modeReset, modeSilent, modeOneWay, modeRefused}

const (
	maxProxyDelay = 150 * time.Millisecond
	silentPoll    = 10 * time.Millisecond
)

// proxy passes connections from a loopback address on to another one, or harms them.
type proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, mode: modePass, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.lis.Addr().String() }

func (p *proxy) close() {
	_ = p.lis.Close()
	p.set(modeReset)
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode. A reset also hits the open connections; those that a silence has hit
// never work again.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heal := p.mode == modeSilent || p.mode == modeOneWay
	p.mode = m
	if m != modeReset && !heal {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a failure leaves an orderly close
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return // closed
		}
		if m := p.current(); m == modeReset || m == modeRefused {
			reset(in)
			continue
		}
		go p.join(in)
	}
}

func (p *proxy) join(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in, false) })
	wg.Go(func() { p.copy(in, out, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// copy passes one direction on.
func (p *proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for p.holds(back) {
			time.Sleep(silentPoll)
		}
		if p.current() == modeDelay {
			time.Sleep(rand.N(maxProxyDelay))
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction ends by itself
			}
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

func (p *proxy) holds(back bool) bool {
	m := p.current()
	return m == modeSilent || m == modeOneWay && back
}
