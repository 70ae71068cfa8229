// Package deadline bounds the writes of connections. Without it a peer that hangs would block
// its writer until TCP gives up after many minutes.
package deadline

import (
	"net"
	"time"
)

// Conn is a connection whose writes take Timeout at most.
type Conn struct {
	net.Conn
	Timeout time.Duration
}

// Write implements net.Conn.
func (c Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Listener accepts connections whose writes take Timeout at most.
type Listener struct {
	net.Listener
	Timeout time.Duration
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn{Conn: conn, Timeout: l.Timeout}, nil
}
