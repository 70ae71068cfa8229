package main

import (
	"io"
	"net"
	"sync"
)

// Proxy carries the connections between a machine and the store. While it is cut, it accepts connections
// and holds all bytes back in both directions, as a partition does.
type Proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	cond  *sync.Cond
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to target at a free port of ip.
func NewProxy(ip, target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.lis.Addr().String() }

// SetCut begins or ends the cut.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.lis.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	p.cond.Broadcast()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.lis.Accept()
		if err != nil {
			return // the proxy was closed
		}
		go p.serve(conn)
	}
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// waitOpen waits until there is no cut.
func (p *Proxy) waitOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	p.waitOpen()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer func() { _ = server.Close() }()
	ended := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.waitOpen()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if err == io.EOF {
					return
				}
				return
			}
		}
	}
	go pump(server, client)
	go pump(client, server)
	<-ended
}
