// Package quota bounds the memory that unfinished replies may hold together. It answers a load of
// backend servers that send without end: each of their replies grows until the pool is full, and the
// pool then names the largest reply, so that short replies are still received completely.
package quota

import (
	"errors"
	"sync"
)

// Config holds the limits of a Pool, in bytes.
type Config struct {
	Total    int64 // all unfinished replies together
	PerReply int64 // one reply
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	if c.PerReply <= 0 || c.Total < c.PerReply {
		return errors.New("quota: the limits must satisfy 0 < PerReply <= Total")
	}
	return nil
}

// Pool counts the bytes of unfinished replies. Its methods may be called concurrently.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	replies map[*Reply]struct{}
	opened  uint64
}

// New returns an empty pool. The configuration must be valid.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, replies: make(map[*Reply]struct{})}
}

// Reply is the share of one unfinished reply.
type Reply struct {
	pool    *Pool
	number  uint64 // order of Open calls
	size    int64
	limit   int64
	revoked bool
	revoke  func()
}

// Open adds an empty reply of at most limit bytes, or Config.PerReply if that is less. The function
// revoke must release the reply's memory without blocking; it is called once at most, when Grow has
// found the pool full and this reply the largest.
func (p *Pool) Open(limit int64, revoke func()) *Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	r := &Reply{pool: p, number: p.opened, limit: min(limit, p.cfg.PerReply), revoke: revoke}
	p.replies[r] = struct{}{}
	return r
}

// Grow adds n bytes to the reply. It returns ErrReplyTooLarge if the reply would exceed its limit, and
// ErrPoolFull if the reply has been revoked. The reply then has to be closed.
func (r *Reply) Grow(n int64) error {
	victim, err := r.grow(n)
	if victim != nil {
		victim.revoke()
	}
	return err
}

// The errors of Grow.
var (
	ErrReplyTooLarge = errors.New("the reply exceeds its size limit")
	ErrPoolFull      = errors.New("unfinished replies hold too much memory and this one is the largest")
)

func (r *Reply) grow(n int64) (victim *Reply, err error) {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.revoked {
		return nil, ErrPoolFull
	}
	if r.size+n > r.limit {
		return nil, ErrReplyTooLarge
	}
	r.size += n
	p.used += n
	if p.used <= p.cfg.Total {
		return nil, nil
	}
	victim = p.largest()
	p.remove(victim)
	victim.revoked = true
	if victim == r {
		return nil, ErrPoolFull
	}
	return victim, nil
}

// largest returns the largest reply, of equal ones the one opened first.
func (p *Pool) largest() *Reply {
	var best *Reply
	for r := range p.replies {
		if best == nil || r.size > best.size || r.size == best.size && r.number < best.number {
			best = r
		}
	}
	return best
}

// remove takes a reply out of the sum. The caller holds p.mu.
func (p *Pool) remove(r *Reply) {
	if _, ok := p.replies[r]; ok {
		delete(p.replies, r)
		p.used -= r.size
	}
}

// Close ends the reply's share.
func (r *Reply) Close() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.remove(r)
}
