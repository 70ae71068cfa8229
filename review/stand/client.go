package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const clientHost = "portal.example"

// Answer is what a client got for one request.
type Answer struct {
	ID       string
	URI      string
	Sent     time.Time
	Took     time.Duration
	Status   int // 0 if the connection ended without a complete answer
	Header   http.Header
	Body     []byte
	ErrorMsg string
}

// Client sends requests on one connection, one after the other, and opens a new one when it must.
type Client struct {
	Addr        string
	ExtraHeader string // further header lines

	conn   net.Conn
	reader *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Do sends one request and reads its answer.
func (c *Client) Do(method, uri, id, body string, deadline time.Duration) Answer {
	a := Answer{ID: id, URI: uri, Sent: time.Now()}
	resp, data, err := c.exchange(method, uri, id, body, deadline)
	a.Took = time.Since(a.Sent)
	if err != nil {
		c.Close()
		a.ErrorMsg = err.Error()
		return a
	}
	a.Status, a.Header, a.Body = resp.StatusCode, resp.Header, data
	if resp.Close {
		c.Close()
	}
	return a
}

func (c *Client) exchange(method, uri, id, body string, deadline time.Duration) (*http.Response, []byte, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
		if err != nil {
			return nil, nil, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return nil, nil, err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, clientHost, id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head.String()+c.ExtraHeader+"\r\n"+body); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}
