package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// pullTimeout is the timeout of a pull. The network latency between peers is a few
	// milliseconds.
	pullTimeout = 300 * time.Millisecond
	// pullBackoff is how long no pull is sent to a peer after one has failed.
	pullBackoff = 300 * time.Millisecond
	// watcherPullDelay is how long a watcher waits for its watch to deliver objects that a
	// peer already has. It then pulls them, since a watch can hang without failing.
	watcherPullDelay = 500 * time.Millisecond
	// peerTTL is how long a peer is kept after its last heartbeat.
	peerTTL = 3 * time.Second
)

// peer is the configuration state of another VM as of its last heartbeats, and the result of
// the last pull from it. A pull is a request for the objects above a revision.
type peer struct {
	vm            model.VM
	address       string
	revision      uint64
	digest        uint64
	lastHeartbeat model.Time
	storeUp       bool
	storeUpAt     model.Time
	nextPullAt    model.Time // earliest time of the next pull

	pulledDigest       uint64 // the peer's digest at the last pull from it
	lastPullEmpty      bool   // the last pull returned nothing new; not repeated until a digest changes
	ownDigestAfterPull uint64 // this VM's digest after the last pull
}

// Heartbeat merges the overrides of a peer and starts a pull if a peer may have newer
// objects. It reports whether the configuration changed.
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
	p.lastHeartbeat = now
	if hb.StoreUp {
		p.storeUp = true
		p.storeUpAt = now
	}
	changed := c.mergeOverrides(hb.Overrides, now, out)
	c.startPull(now, out)
	return changed
}

// PullFailed handles the failure of a pull.
func (c *Cache) PullFailed(ev event.PullFailed, now model.Time, out *effect.List) {
	if c.pullPeer == nil || c.pullPeer.vm != ev.Peer {
		return
	}
	c.abandonPull(now)
	c.startPull(now, out)
}

func (c *Cache) expirePull(now model.Time, out *effect.List) {
	if c.pullPeer != nil && now >= c.pullDeadline {
		c.abandonPull(now)
	}
	c.startPull(now, out)
}

func (c *Cache) abandonPull(now model.Time) {
	c.pullPeer.nextPullAt = now.Add(pullBackoff)
	c.pullPeer = nil
}

// endPull ends the pull from vm, if it is in progress. The caller has already merged the
// reply; one that arrives after the timeout does not end a pull from another peer.
func (c *Cache) endPull(vm model.VM, useful bool) {
	p := c.pullPeer
	if p == nil || p.vm != vm {
		return
	}
	c.pullPeer = nil
	p.lastPullEmpty = !useful
	p.ownDigestAfterPull = c.Digest()
}

// startPull requests the objects of a peer that may have newer ones, unless a pull is in
// progress. A VM with a working watch first waits for watcherPullDelay.
func (c *Cache) startPull(now model.Time, out *effect.List) {
	if c.pullPeer != nil {
		return
	}
	p := c.choosePullPeer(now)
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
	c.pullPeer = p
	c.pullDeadline = now.Add(pullTimeout)
	p.pulledDigest = p.digest
	out.Add(effect.PullObjects{Peer: p.vm, Address: p.address, Since: c.completeRevision})
}

// choosePullPeer returns the peer to pull from, or nil. It prefers the highest revision; ties
// are broken differently on every VM, so that pulls spread over the peers.
func (c *Cache) choosePullPeer(now model.Time) *peer {
	var best *peer
	digest := c.Digest()
	for _, p := range c.peers {
		if !c.mayBeAhead(p, digest) || now < p.nextPullAt || now.Sub(p.lastHeartbeat) > peerTTL {
			continue
		}
		if best == nil || c.preferPeer(p, best) {
			best = p
		}
	}
	return best
}

// mayBeAhead reports whether p may have objects that this VM lacks. All objects up to
// completeRevision are cached, so the peer's revision must be above that. It may be below
// the highest revision of this VM, which a write by this VM can have raised past objects
// that are still missing.
func (c *Cache) mayBeAhead(p *peer, digest uint64) bool {
	if p.revision <= c.completeRevision || p.digest == digest {
		return false
	}
	return !p.lastPullEmpty || p.pulledDigest != p.digest || p.ownDigestAfterPull != digest
}

func (c *Cache) preferPeer(p, q *peer) bool {
	if p.revision != q.revision {
		return p.revision > q.revision
	}
	a, b := c.pullOrder(p), c.pullOrder(q)
	if a != b {
		return a < b
	}
	return p.vm < q.vm
}

// pullOrder returns a hash of this VM and p. Among peers with equal revisions, the one with
// the lowest hash is preferred.
func (c *Cache) pullOrder(p *peer) uint64 {
	return xxhash.Sum64String(string(c.cfg.Self) + "/" + string(p.vm))
}

func (c *Cache) forgetPeers(now model.Time) {
	for vm, p := range c.peers {
		if now.Sub(p.lastHeartbeat) > peerTTL && p != c.pullPeer {
			delete(c.peers, vm)
		}
	}
}
