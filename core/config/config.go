// Package config caches the objects of the platform's store, spreads them between
// daemons, and carries out conditional writes.
package config

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	pollInterval = time.Second
	storeMemory  = 3 * time.Second // how long one success counts as evidence that the store is up
)

// Config identifies this VM and bounds waiting for the store.
type Config struct {
	Self         model.VM
	Boot         model.Boot
	WriteTimeout time.Duration // after which a command that only restricts becomes an override
}

// write is a write whose answer has not arrived.
type write struct {
	command uint64
	object  model.Object
}

// Cache is the configuration state of one VM. Every VM polls the store; the last state
// received and the last write win.
type Cache struct {
	cfg      Config
	objects  objectSet
	complete uint64
	polled   model.Time
	polling  bool
	reached  model.Time
	ok       bool
	writes   map[uint64]write
	number   uint64
}

// New returns an empty cache.
func New(cfg Config) *Cache {
	return &Cache{cfg: cfg, objects: newObjectSet(), writes: make(map[uint64]write)}
}

// Received takes over objects from the store or a peer and reports whether anything changed.
func (c *Cache) Received(ev event.ObjectsReceived, now model.Time, out *effect.List) bool {
	c.ok, c.reached = true, now
	for i := range ev.Objects {
		c.objects.put(&ev.Objects[i])
	}
	c.complete = max(c.complete, ev.Revision)
	return len(ev.Objects) > 0
}

// StoreFailed notes that the store could not be read.
func (c *Cache) StoreFailed(ev event.StoreFailed, now model.Time, out *effect.List) { c.ok = false }

// PullFailed does nothing: no peer is asked.
func (c *Cache) PullFailed(ev event.PullFailed, now model.Time, out *effect.List) {}

// WriteDone answers the operator. A lost answer counts as a failure, and a write that lost a
// race is repeated on top of the winner.
func (c *Cache) WriteDone(ev event.WriteDone, now model.Time, out *effect.List) bool {
	w, ok := c.writes[ev.Write]
	if !ok {
		return false
	}
	delete(c.writes, ev.Write)
	switch ev.Outcome {
	case event.WriteOK:
		c.objects.put(&ev.Object)
		c.reply(w.command, effect.CommandOK, out)
		return true
	case event.WriteConflict:
		c.Write(w.command, w.object, ev.Object.Version, now, out)
	default:
		c.reply(w.command, effect.CommandUnavailable, out)
	}
	return false
}

func (c *Cache) reply(command uint64, code effect.CommandCode, out *effect.List) {
	if command != 0 {
		out.Add(effect.ReplyOperator{Command: command, Result: effect.CommandResult{Code: code}})
	}
}

// Heartbeat does nothing: daemons learn from the store only.
func (c *Cache) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) bool { return false }

// Tick polls the store.
func (c *Cache) Tick(live []model.VM, now model.Time, out *effect.List) bool {
	if c.polling && now.Sub(c.polled) < pollInterval {
		return false
	}
	c.polling, c.polled = true, now
	out.Add(effect.WatchStore{Since: c.complete})
	return false
}

// Fill sets the fields of a heartbeat that the cache owns.
func (c *Cache) Fill(hb *event.Heartbeat) {
	hb.Digest = c.Digest()
	hb.Revision = c.Revision()
}

// Write starts a write. command is the operator's command to answer when it is done, or 0.
func (c *Cache) Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	c.number++
	c.writes[c.number] = write{command: command, object: obj}
	out.Add(effect.WriteObject{Write: c.number, Object: obj, IfVersion: ifVersion})
}

// WriteRestriction is Write: nothing acts without the store.
func (c *Cache) WriteRestriction(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	c.Write(command, obj, ifVersion, now, out)
}

// Pending reports whether a write of the object is under way.
func (c *Cache) Pending(key model.ObjectKey) bool {
	for _, w := range c.writes {
		if w.object.Key == key {
			return true
		}
	}
	return false
}

// Get returns the object in force.
func (c *Cache) Get(key model.ObjectKey) (model.Object, bool) {
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
		if !o.Deleted && wellFormed(o) {
			all = append(all, *o)
		}
	}
	return all
}

// Newer returns the objects with a version above since, for a peer that pulls, and the
// revision up to which they are complete.
func (c *Cache) Newer(since uint64) ([]model.Object, uint64) {
	return c.objects.newer(since), c.complete
}

// Overrides returns nothing: there are none.
func (c *Cache) Overrides() []event.Override { return nil }

// Digest identifies the set of objects in force.
func (c *Cache) Digest() uint64 { return c.objects.digest }

// Revision returns the highest object version in force.
func (c *Cache) Revision() uint64 { return c.objects.revision }

// StoreUp reports whether this VM has reached the store in the last seconds.
func (c *Cache) StoreUp(now model.Time) bool { return c.ok && now.Sub(c.reached) <= storeMemory }
