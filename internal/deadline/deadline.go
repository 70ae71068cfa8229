// Package deadline sets a deadline on every write to a network connection. Without it, a write
// to an unresponsive peer blocks until TCP gives up, which takes many minutes.
package deadline

import (
	"net"
	"time"
)

// Conn is a connection whose writes fail after Timeout.
type Conn struct {
	net.Conn
	Timeout time.Duration
}

// Write implements net.Conn. It sets a new write deadline before each write.
func (c Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Listener accepts connections whose writes fail after Timeout.
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
