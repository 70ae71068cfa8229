// Package config caches the objects of the platform's store, spreads them between
// daemons, and carries out conditional writes.
//
// A read of one object that does not exist arrives as a deleted object with version 0,
// and a read of one object has revision 0 in event.ObjectsReceived, because it says
// nothing about other objects.
package config

import (
	"slices"
	"strings"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// watcherCount is the number of VMs of a group that hold a watch: one spare keeps
	// changes flowing while the other fails over.
	watcherCount = 2
	// watchDelay is how long a VM must be a watcher, or no watcher, before it opens or
	// closes its watch. It spans several heartbeats, so that a VM that has just started and
	// knows no peer, or misses a heartbeat, opens no third watch.
	watchDelay = 500 * time.Millisecond
	// storeMemory is how long one success counts as evidence that the store is up.
	storeMemory = 3 * time.Second
	// probeInterval is the pause between reads by a watcher whose watch has failed. A
	// repeated watch stays silent until an object changes, so it does not show by itself
	// that the store is back.
	probeInterval = time.Second
)

// Config identifies this VM and bounds waiting for the store.
type Config struct {
	Self         model.VM
	Boot         model.Boot    // keeps write IDs of different starts of a VM apart
	WriteTimeout time.Duration // after which a command that only restricts becomes an override
}

// Cache is the configuration state of one VM.
type Cache struct {
	cfg      Config
	objects  objectSet
	complete uint64 // every object up to this revision is known; objects of own writes can be newer

	watcher      bool // the role that the last tick asked for
	watcherSince model.Time
	watching     bool
	watchFailed  bool
	nextProbe    model.Time
	storeOK      bool
	storeOKAt    model.Time
	up           bool // StoreUp at the last tick
	upSince      model.Time
	tickAt       model.Time

	peers       map[model.VM]*peer
	pulling     *peer // peer of the pull that is under way, nil for none
	pullEnds    model.Time
	behind      bool
	behindSince model.Time

	writes     []*write // under way, in the order of their start
	lastNumber uint64

	overrides []*override // sorted by key
	clock     uint64
}

// New returns an empty cache.
func New(cfg Config) *Cache {
	return &Cache{
		cfg:     cfg,
		objects: newObjectSet(),
		peers:   make(map[model.VM]*peer),
	}
}

// Received merges objects from the store or a peer and reports whether anything changed.
func (c *Cache) Received(ev event.ObjectsReceived, now model.Time, out *effect.List) bool {
	if ev.FromStore {
		c.storeReached(now)
	}
	before := c.complete
	changed := false
	for i := range ev.Objects {
		if c.accept(&ev.Objects[i], ev.FromStore, now, out) {
			changed = true
		}
	}
	c.complete = max(c.complete, ev.Revision)
	if !ev.FromStore {
		c.pullDone(ev.Peer, changed || c.complete > before)
	}
	c.pull(now, out)
	return changed
}

// accept merges one object and lets a write of it that is under way draw its conclusions.
func (c *Cache) accept(o *model.Object, fromStore bool, now model.Time, out *effect.List) bool {
	changed := c.merge(o, out)
	if w := c.writeOf(o.Key); w != nil {
		c.observe(w, o, fromStore, now, out)
	}
	return changed
}

// merge replaces the cached object if o is newer, and drops the overrides that o makes void.
func (c *Cache) merge(o *model.Object, out *effect.List) bool {
	if o.Version == 0 || o.Version <= c.objects.version(o.Key) {
		return false
	}
	if !wellFormed(o) {
		out.Add(effect.Log{
			Level:   effect.Error,
			Message: "object has no content of its kind and is ignored",
			Step:    "merge object",
			Fields:  []effect.Field{{Key: "object", Value: o.Key.String()}},
		})
		return false
	}
	c.objects.put(o)
	c.dropVoid(o, out)
	return true
}

// StoreFailed notes that the store could not be read.
func (c *Cache) StoreFailed(ev event.StoreFailed, now model.Time, out *effect.List) {
	c.storeLost(now)
}

func (c *Cache) storeReached(now model.Time) {
	c.storeOK = true
	c.storeOKAt = now
	c.watchFailed = false
}

func (c *Cache) storeLost(now model.Time) {
	c.storeOK = false
	if c.watching && !c.watchFailed {
		c.watchFailed = true
		c.nextProbe = now.Add(probeInterval)
	}
}

// Tick opens or closes the watch (only watchers hold one) and retries what is due. It
// reports whether the configuration changed.
func (c *Cache) Tick(live []model.VM, now model.Time, out *effect.List) bool {
	c.tickAt = now
	c.updateWatch(live, now, out)
	c.expirePull(now, out)
	c.forgetPeers(now)
	changed := c.advanceWrites(now, out)
	c.noteStoreUp(now)
	c.writeBack(live, now, out)
	return changed
}

func (c *Cache) updateWatch(live []model.VM, now model.Time, out *effect.List) {
	watcher := rankIn(live, c.cfg.Self) < watcherCount
	if watcher != c.watcher {
		c.watcher = watcher
		c.watcherSince = now
	}
	if c.watcher != c.watching && now.Sub(c.watcherSince) >= watchDelay {
		c.setWatching(c.watcher, out)
	}
	if c.watching && c.watchFailed && now >= c.nextProbe {
		c.nextProbe = now.Add(probeInterval)
		out.Add(effect.ReadObject{Key: model.ObjectKey{
			Kind: model.ObjectAutomation,
			Name: model.AutomationName,
		}})
	}
}

func (c *Cache) setWatching(watching bool, out *effect.List) {
	c.watching = watching
	c.watchFailed = false
	if watching {
		out.Add(effect.WatchStore{Since: c.complete})
		return
	}
	out.Add(effect.StopWatch{})
}

// rankIn returns the number of VMs in live that precede vm by name.
func rankIn(live []model.VM, vm model.VM) int {
	rank := 0
	for _, v := range live {
		if v < vm {
			rank++
		}
	}
	return rank
}

func (c *Cache) noteStoreUp(now model.Time) {
	up := c.StoreUp(now)
	if up && !c.up {
		c.upSince = now
	}
	c.up = up
}

// Fill sets the fields of a heartbeat that the cache owns.
func (c *Cache) Fill(hb *event.Heartbeat) {
	hb.Digest = c.Digest()
	hb.Revision = c.Revision()
	hb.Overrides = c.Overrides()
	hb.StoreUp = c.reachesStore(c.tickAt)
}

// Get returns the object in force, overrides included. A deleted object is not found.
func (c *Cache) Get(key model.ObjectKey) (model.Object, bool) {
	if o := c.overrideOf(key); o != nil {
		return o.object(), true
	}
	o := c.objects.get(key)
	if o == nil || o.Deleted {
		return model.Object{}, false
	}
	return *o, true
}

// All returns the objects of a kind in force, sorted by name.
func (c *Cache) All(kind model.ObjectKind) []model.Object {
	var all []model.Object
	for _, o := range c.objects.ofKind(kind) {
		if !o.Deleted && c.overrideOf(o.Key) == nil {
			all = append(all, *o)
		}
	}
	overridden := false
	for _, o := range c.overrides {
		if o.Key.Kind == kind {
			all = append(all, o.object())
			overridden = true
		}
	}
	if overridden {
		slices.SortFunc(all, func(a, b model.Object) int {
			return strings.Compare(a.Key.Name, b.Key.Name)
		})
	}
	return all
}

// Newer returns the objects with a version above since, for a peer that pulls, and the
// revision up to which they are complete. They are in the order of their versions.
func (c *Cache) Newer(since uint64) ([]model.Object, uint64) {
	return c.objects.newer(since), c.complete
}

// Digest identifies the set of objects in force, overrides included.
func (c *Cache) Digest() uint64 {
	d := c.objects.digest
	for _, o := range c.overrides {
		d += o.hash()
	}
	return d
}

// Revision returns the highest object version in force.
func (c *Cache) Revision() uint64 { return c.objects.revision }

// StoreUp reports whether this VM or a live peer has reached the store in the last seconds.
func (c *Cache) StoreUp(now model.Time) bool {
	if c.reachesStore(now) {
		return true
	}
	for _, p := range c.peers {
		if p.storeUp && now.Sub(p.storeUpAt) <= storeMemory {
			return true
		}
	}
	return false
}

// reachesStore reports whether this VM itself reaches the store. Heartbeats carry only
// this, since evidence passed on from peer to peer would never grow old.
func (c *Cache) reachesStore(now model.Time) bool {
	if c.watching && !c.watchFailed {
		return true
	}
	return c.storeOK && now.Sub(c.storeOKAt) <= storeMemory
}
