// Package config caches the objects of the platform's store, exchanges them with other
// daemons, and carries out conditional writes.
//
// In event.ObjectsReceived, the result of reading a single object has revision 0, because
// it says nothing about other objects. If that object does not exist, it is reported as
// deleted with version 0.
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
	// watcherCount is the number of VMs of a group that watch the store. With two, changes
	// still arrive while one watcher fails over.
	watcherCount = 2
	// watchDelay is how long the watcher role of a VM must be unchanged before the VM opens
	// or closes its watch. It spans several heartbeats, so that a VM that has just started
	// and knows no peer, or that misses a heartbeat, does not open a third watch.
	watchDelay = 500 * time.Millisecond
	// storeEvidenceTTL is how long the store is considered up after a successful call of this
	// VM or a peer's report that it reaches the store. A failed call of this VM ends the
	// evidence from its own calls at once.
	storeEvidenceTTL = 3 * time.Second
	// probeInterval is the interval between reads by a watcher whose watch has failed. A
	// reopened watch returns nothing until an object changes, so it does not show by itself
	// that the store is reachable again.
	probeInterval = time.Second
)

// Config holds the identity of this VM and the timeout of writes to the store.
type Config struct {
	Self         model.VM
	Boot         model.Boot    // part of write IDs, so that they are unique across restarts
	WriteTimeout time.Duration // an unanswered restriction becomes an override after this time
}

// Cache is the configuration state of one VM.
type Cache struct {
	cfg              Config
	objects          objectSet
	completeRevision uint64 // every object up to this revision is cached; objects written by this VM can be newer

	watcher          bool // whether this VM should watch, as of the last tick
	roleChangedAt    model.Time
	watching         bool
	watchFailed      bool
	nextProbe        model.Time
	lastStoreCallOK  bool
	lastStoreSuccess model.Time
	storeUp          bool // result of StoreUp at the last tick
	storeUpSince     model.Time
	lastTick         model.Time

	peers        map[model.VM]*peer
	pullPeer     *peer // peer of the pull in progress, or nil
	pullDeadline model.Time
	behind       bool // a peer may have newer objects
	behindSince  model.Time

	writes     []*write // in progress, in the order of their start
	lastNumber uint64

	overrides []*override // sorted by key
	clock     uint64      // highest clock of any override received or created
}

// New returns an empty cache.
func New(cfg Config) *Cache {
	return &Cache{
		cfg:     cfg,
		objects: newObjectSet(),
		peers:   make(map[model.VM]*peer),
	}
}

// Received merges objects from the store or a peer. It reports whether the configuration
// changed.
func (c *Cache) Received(ev event.ObjectsReceived, now model.Time, out *effect.List) bool {
	if ev.FromStore {
		c.recordStoreSuccess(now)
	}
	before := c.completeRevision
	changed := false
	for i := range ev.Objects {
		if c.mergeReceived(&ev.Objects[i], ev.FromStore, now, out) {
			changed = true
		}
	}
	c.completeRevision = max(c.completeRevision, ev.Revision)
	if !ev.FromStore {
		c.endPull(ev.Peer, changed || c.completeRevision > before)
	}
	c.startPull(now, out)
	return changed
}

// mergeReceived merges one object and, if a write of it is in progress, updates that write.
func (c *Cache) mergeReceived(o *model.Object, fromStore bool, now model.Time, out *effect.List) bool {
	changed := c.merge(o, out)
	if w := c.pendingWrite(o.Key); w != nil {
		c.resolveWrite(w, o, fromStore, now, out)
	}
	return changed
}

// merge replaces the cached object if o is newer, and drops the override that o supersedes.
// It reports whether the cache changed.
func (c *Cache) merge(o *model.Object, out *effect.List) bool {
	if o.Version == 0 || o.Version <= c.objects.version(o.Key) {
		return false
	}
	if !hasContentOfKind(o) {
		out.Add(effect.Log{
			Level:   effect.Error,
			Message: "object has no content of its kind and is ignored",
			Step:    "merge object",
			Fields:  []effect.Field{{Key: "object", Value: o.Key.String()}},
		})
		return false
	}
	c.objects.put(o)
	c.dropSuperseded(o, out)
	return true
}

// StoreFailed records a failed read or watch of the store.
func (c *Cache) StoreFailed(ev event.StoreFailed, now model.Time, out *effect.List) {
	c.recordStoreFailure(now)
}

func (c *Cache) recordStoreSuccess(now model.Time) {
	c.lastStoreCallOK = true
	c.lastStoreSuccess = now
	c.watchFailed = false
}

func (c *Cache) recordStoreFailure(now model.Time) {
	c.lastStoreCallOK = false
	if c.watching && !c.watchFailed {
		c.watchFailed = true
		c.nextProbe = now.Add(probeInterval)
	}
}

// Tick opens or closes the watch as the watcher role requires, and handles expired timeouts
// and due retries of pulls and writes. live lists the live VMs of the group, this VM
// included. It reports whether the configuration changed.
func (c *Cache) Tick(live []model.VM, now model.Time, out *effect.List) bool {
	c.lastTick = now
	c.updateWatch(live, now, out)
	c.expirePull(now, out)
	c.forgetPeers(now)
	changed := c.advanceWrites(now, out)
	c.updateStoreUp(now)
	c.writeBack(live, now, out)
	return changed
}

func (c *Cache) updateWatch(live []model.VM, now model.Time, out *effect.List) {
	watcher := rankIn(live, c.cfg.Self) < watcherCount
	if watcher != c.watcher {
		c.watcher = watcher
		c.roleChangedAt = now
	}
	if c.watcher != c.watching && now.Sub(c.roleChangedAt) >= watchDelay {
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
		out.Add(effect.WatchStore{Since: c.completeRevision})
		return
	}
	out.Add(effect.StopWatch{})
}

// rankIn returns the number of VMs in live whose names sort before vm.
func rankIn(live []model.VM, vm model.VM) int {
	rank := 0
	for _, v := range live {
		if v < vm {
			rank++
		}
	}
	return rank
}

func (c *Cache) updateStoreUp(now model.Time) {
	up := c.StoreUp(now)
	if up && !c.storeUp {
		c.storeUpSince = now
	}
	c.storeUp = up
}

// Fill sets the fields of a heartbeat that describe the configuration of this VM.
func (c *Cache) Fill(hb *event.Heartbeat) {
	hb.Digest = c.Digest()
	hb.Revision = c.Revision()
	hb.Overrides = c.Overrides()
	hb.StoreUp = c.reachesStoreItself(c.lastTick)
}

// Get returns the object in force: the override of the key, or else the cached object. It
// returns false for unknown and deleted objects.
func (c *Cache) Get(key model.ObjectKey) (model.Object, bool) {
	if o := c.overrideFor(key); o != nil {
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
		if !o.Deleted && c.overrideFor(o.Key) == nil {
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

// ObjectsSince returns the cached objects with a version above since, ordered by version, and the
// revision up to which they are complete. It answers the pull of a peer.
func (c *Cache) ObjectsSince(since uint64) ([]model.Object, uint64) {
	return c.objects.newer(since), c.completeRevision
}

// Digest returns a hash that identifies the cached objects, tombstones included, and the
// overrides in force.
func (c *Cache) Digest() uint64 {
	d := c.objects.digest
	for _, o := range c.overrides {
		d += o.hash()
	}
	return d
}

// Revision returns the highest version of any cached object, tombstones included.
func (c *Cache) Revision() uint64 { return c.objects.revision }

// StoreUp reports whether this VM reaches the store, or a peer has reported within
// storeEvidenceTTL that it does.
func (c *Cache) StoreUp(now model.Time) bool {
	if c.reachesStoreItself(now) {
		return true
	}
	for _, p := range c.peers {
		if p.storeUp && now.Sub(p.storeUpAt) <= storeEvidenceTTL {
			return true
		}
	}
	return false
}

// reachesStoreItself reports whether this VM itself reaches the store: its watch is open and
// has not failed, or its last call succeeded within storeEvidenceTTL. Heartbeats carry only
// this, since evidence that peers repeated to each other would never expire.
func (c *Cache) reachesStoreItself(now model.Time) bool {
	if c.watching && !c.watchFailed {
		return true
	}
	return c.lastStoreCallOK && now.Sub(c.lastStoreSuccess) <= storeEvidenceTTL
}
