// Package intake decides which connections of callers a VM keeps when they hold too much together. It
// answers a load of callers that open connections, or begin requests, and do not go on: the VM then
// refuses the requests that have held memory for longest, so that a caller that sends its request
// without a pause is served. It has no I/O and no clock.
package intake

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config holds the limits of a Table.
type Config struct {
	MaxConns int // open connections
	// ConnBytes is the memory that each connection may use for its request and answer, whatever the others
	// use. It keeps large requests from shutting small ones out.
	ConnBytes int64
	// MaxBytes is the memory that all connections together may use beyond ConnBytes.
	MaxBytes int64
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	if c.MaxConns <= 0 || c.MaxBytes <= 0 || c.ConnBytes < 0 {
		return errors.New("intake: MaxConns and MaxBytes must be positive, ConnBytes not negative")
	}
	return nil
}

// Phase is what a connection is doing.
type Phase int

const (
	// Waiting means that no byte of the first request has arrived.
	Waiting Phase = iota
	// Receiving means that a part of a request has arrived.
	Receiving
	// Running means that a whole request has arrived and is not answered yet. Such a connection is
	// kept, since its request may have been sent to a server.
	Running
	// Answering means that the answer is being written.
	Answering
	// Idle means that the last request has been answered and the next one has not begun.
	Idle
)

// Table holds the open connections. Its methods and those of its connections may be called concurrently.
type Table struct {
	cfg Config

	mu     sync.Mutex
	shared int64 // bytes of all connections beyond Config.ConnBytes
	conns  map[*Conn]struct{}
	opened uint64
	// Connections that may be aborted for a new one, each list in the order in which their phase began.
	unfinished list.List // Waiting, Receiving or Answering
	idle       list.List
}

// New returns an empty table. The configuration must be valid.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, conns: make(map[*Conn]struct{})}
}

// Caller is the other side of a connection's entry in the table. Its methods must not block; each is
// called once at most.
type Caller interface {
	// Refuse ends the request that is being received, or the answer that is being written, and frees its
	// memory. The connection stays in the table until Close.
	Refuse()
	// Abort closes the connection. The table has removed it.
	Abort()
}

// Usage is what the connections of a table hold.
type Usage struct {
	Conns  int   // open connections
	Bytes  int64 // memory of requests and answers
	Shared int64 // the part of Bytes that counts towards Config.MaxBytes
}

// Usage returns what the connections hold now.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := Usage{Conns: len(t.conns), Shared: t.shared}
	for c := range t.conns {
		u.Bytes += c.bytes
	}
	return u
}

// Conn is an open connection.
type Conn struct {
	table   *Table
	caller  Caller
	number  uint64 // order of Open calls
	phase   Phase
	since   model.Time    // start of the phase
	order   *list.List    // the list of the table that holds the connection, or nil
	place   *list.Element // in order
	bytes   int64
	refused bool
	removed bool
}

// The errors of Open and Grow.
var (
	ErrTooManyConns = errors.New("too many connections are open and all of them run requests")
	ErrTooManyBytes = errors.New("unfinished requests hold too much memory")
)

// Open adds a connection in phase Waiting. If there are too many, it aborts the one that has been
// Waiting, Receiving or Answering for longest or, if there is none, the one that has been Idle for
// longest. It returns ErrTooManyConns if there is none either.
func (t *Table) Open(now model.Time, caller Caller) (*Conn, error) {
	c, victim := t.open(now, caller)
	if c == nil {
		return nil, ErrTooManyConns
	}
	if victim != nil {
		victim.caller.Abort()
	}
	return c, nil
}

func (t *Table) open(now model.Time, caller Caller) (opened, victim *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.cfg.MaxConns {
		if victim = t.longestUnused(); victim == nil {
			return nil, nil
		}
		t.remove(victim)
	}
	t.opened++
	opened = &Conn{table: t, number: t.opened, caller: caller}
	t.conns[opened] = struct{}{}
	opened.begin(Waiting, now)
	return opened, victim
}

// longestUnused returns the connection to abort for a new one, or nil.
func (t *Table) longestUnused() *Conn {
	for _, l := range []*list.List{&t.unfinished, &t.idle} {
		if first := l.Front(); first != nil {
			return first.Value.(*Conn)
		}
	}
	return nil
}

// begin puts the connection at the end of the list of a phase.
func (c *Conn) begin(phase Phase, now model.Time) {
	c.unlist()
	c.phase, c.since = phase, now
	switch phase {
	case Waiting, Receiving, Answering:
		c.order = &c.table.unfinished
	case Idle:
		c.order = &c.table.idle
	case Running:
		return
	}
	c.place = c.order.PushBack(c)
}

func (c *Conn) unlist() {
	if c.order != nil {
		c.order.Remove(c.place)
		c.order, c.place = nil, nil
	}
}

// Enter records that the connection begins a phase. An Idle connection holds no memory. Enter returns
// ErrTooManyBytes if the request has been refused.
func (c *Conn) Enter(phase Phase, now model.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.refused || c.removed {
		return ErrTooManyBytes
	}
	if c.phase == phase {
		return nil
	}
	c.begin(phase, now)
	if phase == Idle {
		c.add(-c.bytes)
	}
	return nil
}

// Grow adds n bytes to the memory that the connection's request holds. If the sum is too large, it refuses
// the requests and answers that have held the most bytes for longest. It returns ErrTooManyBytes if this
// request is one of them, or has been refused before; the bytes are then not added. A request that
// alone holds memory may exceed the limit.
func (c *Conn) Grow(n int64, now model.Time) error {
	victims, err := c.table.grow(c, n, now)
	refuse(victims)
	return err
}

func (t *Table) grow(c *Conn, n int64, now model.Time) (victims []*Conn, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.removed || c.refused {
		return nil, ErrTooManyBytes
	}
	c.add(n)
	victims = t.makeRoom(c, now)
	if t.shared > t.cfg.MaxBytes && t.shared > c.shared() {
		c.add(-n)
		return victims, ErrTooManyBytes
	}
	return victims, nil
}

// Hold adds the n bytes of an answer. Unlike Grow it never fails, since an answer that is ready has to be
// delivered: the sum stays too large if no other connection can be refused.
func (c *Conn) Hold(n int64, now model.Time) {
	refuse(c.table.hold(c, n, now))
}

func (t *Table) hold(c *Conn, n int64, now model.Time) (victims []*Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.removed || c.refused {
		return nil
	}
	c.add(n)
	return t.makeRoom(c, now)
}

func refuse(victims []*Conn) {
	for _, v := range victims {
		v.caller.Refuse()
	}
}

// makeRoom takes the memory of other connections than c until the sum is within the limit or it is c's turn.
// It returns the connections that have to be refused.
func (t *Table) makeRoom(c *Conn, now model.Time) (victims []*Conn) {
	for t.shared > t.cfg.MaxBytes {
		victim := t.largestHolder(now)
		if victim == nil || victim == c {
			return victims
		}
		victim.add(-victim.bytes)
		victim.refused = true
		victims = append(victims, victim)
	}
	return victims
}

// largestHolder returns the connection to refuse for its memory, or nil: the one with the largest product of
// its shared bytes and the time for which it has received or answered.
func (t *Table) largestHolder(now model.Time) *Conn {
	var best *Conn
	most := 0.0
	for c := range t.conns {
		if c.shared() == 0 || c.phase != Receiving && c.phase != Answering {
			continue
		}
		held := float64(c.shared()) * (now.Sub(c.since) + time.Microsecond).Seconds()
		if best == nil || held > most || held == most && c.number < best.number {
			best, most = c, held
		}
	}
	return best
}

// add adds n bytes to what the connection holds. The caller holds the table's lock.
func (c *Conn) add(n int64) {
	c.table.shared -= c.shared()
	c.bytes += n
	c.table.shared += c.shared()
}

// shared returns the part of the connection's bytes that counts towards Config.MaxBytes.
func (c *Conn) shared() int64 { return max(c.bytes-c.table.cfg.ConnBytes, 0) }

// remove takes a connection out of the table. The caller holds t.mu.
func (t *Table) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	c.unlist()
	delete(t.conns, c)
	c.add(-c.bytes)
}

// Close removes the connection.
func (c *Conn) Close() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.remove(c)
}
