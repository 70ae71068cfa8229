package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// pullTimeout bounds the wait for a peer's objects. Peers are a few milliseconds away.
	pullTimeout = 300 * time.Millisecond
	// pullBackoff is how long a peer is passed over after a pull from it has failed.
	pullBackoff = 300 * time.Millisecond
	// watcherPullDelay is how long a watcher waits for its own watch to bring what a peer
	// has already. A watch can hang without failing, so a watcher pulls as well.
	watcherPullDelay = 500 * time.Millisecond
	// peerMemory is how long a peer that sends no heartbeat is remembered.
	peerMemory = 3 * time.Second
)

// peer is what the last heartbeats of another VM say about its configuration.
type peer struct {
	vm        model.VM
	address   string
	revision  uint64
	digest    uint64
	heardAt   model.Time
	storeUp   bool
	storeUpAt model.Time
	notBefore model.Time // no pull before this time

	asked     uint64 // digest of the peer at the last pull from it
	fruitless bool   // the last pull brought nothing; pointless until a digest changes
	ownDigest uint64 // digest of this VM after the last pull
}

// Heartbeat merges overrides of a peer and pulls from it if it is ahead. It reports
// whether the configuration changed.
func (c *Cache) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) bool {
	if hb.From == c.cfg.Self {
		return false
	}
	p := c.peers[hb.From]
	if p == nil {
		p = &peer{vm: hb.From}
		c.peers[hb.From] = p
	}
	p.address = hb.Address
	p.revision = hb.Revision
	p.digest = hb.Digest
	p.heardAt = now
	if hb.StoreUp {
		p.storeUp = true
		p.storeUpAt = now
	}
	changed := c.mergeOverrides(hb.Overrides, now, out)
	c.pull(now, out)
	return changed
}

// PullFailed notes that a peer could not be asked.
func (c *Cache) PullFailed(ev event.PullFailed, now model.Time, out *effect.List) {
	if c.pulling == nil || c.pulling.vm != ev.Peer {
		return
	}
	c.abandonPull(now)
	c.pull(now, out)
}

func (c *Cache) expirePull(now model.Time, out *effect.List) {
	if c.pulling != nil && now >= c.pullEnds {
		c.abandonPull(now)
	}
	c.pull(now, out)
}

func (c *Cache) abandonPull(now model.Time) {
	c.pulling.notBefore = now.Add(pullBackoff)
	c.pulling = nil
}

// pullDone ends the pull from a peer. An answer that comes after the timeout has been
// merged by then and ends no other pull.
func (c *Cache) pullDone(vm model.VM, useful bool) {
	p := c.pulling
	if p == nil || p.vm != vm {
		return
	}
	c.pulling = nil
	p.fruitless = !useful
	p.ownDigest = c.Digest()
}

// pull asks one peer that is ahead for its objects, unless a pull is under way.
func (c *Cache) pull(now model.Time, out *effect.List) {
	if c.pulling != nil {
		return
	}
	p := c.pullCandidate(now)
	if p == nil {
		c.behind = false
		return
	}
	if !c.behind {
		c.behind = true
		c.behindSince = now
	}
	if c.watching && !c.watchFailed && now.Sub(c.behindSince) < watcherPullDelay {
		return
	}
	c.pulling = p
	c.pullEnds = now.Add(pullTimeout)
	p.asked = p.digest
	out.Add(effect.PullObjects{Peer: p.vm, Address: p.address, Since: c.complete})
}

// pullCandidate returns the peer that is furthest ahead, or nil. Among equals every VM
// prefers another peer, so that not all ask the same one.
func (c *Cache) pullCandidate(now model.Time) *peer {
	var best *peer
	digest := c.Digest()
	for _, p := range c.peers {
		if !c.ahead(p, digest) || now < p.notBefore || now.Sub(p.heardAt) > peerMemory {
			continue
		}
		if best == nil || c.preferred(p, best) {
			best = p
		}
	}
	return best
}

// ahead reports whether p may have an object version above ours. Nothing up to the
// complete revision can be missing here, so a peer without a higher revision cannot help.
// A peer with one can, even when our own revision is higher because of an own write.
func (c *Cache) ahead(p *peer, digest uint64) bool {
	if p.revision <= c.complete || p.digest == digest {
		return false
	}
	return !p.fruitless || p.asked != p.digest || p.ownDigest != digest
}

func (c *Cache) preferred(p, q *peer) bool {
	if p.revision != q.revision {
		return p.revision > q.revision
	}
	a, b := c.affinity(p), c.affinity(q)
	if a != b {
		return a < b
	}
	return p.vm < q.vm
}

func (c *Cache) affinity(p *peer) uint64 {
	return xxhash.Sum64String(string(c.cfg.Self) + "/" + string(p.vm))
}

func (c *Cache) forgetPeers(now model.Time) {
	for vm, p := range c.peers {
		if now.Sub(p.heardAt) > peerMemory && p != c.pulling {
			delete(c.peers, vm)
		}
	}
}
