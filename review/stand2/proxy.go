package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to one address. Its open connections can be made to go silent: no byte passes
// any more and no side learns of it, while new connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is a connection of a client with its connection to the target.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes all open connections go silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.pass(l, client, server)
		go p.pass(l, server, client)
	}
}

// pass copies bytes until one side ends. After the link has gone silent it drops them, and the other side
// does not learn of the end.
func (p *proxy) pass(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.silent.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !l.silent.Load() {
			_ = l.client.Close()
			_ = l.server.Close()
		}
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		return
	}
}
