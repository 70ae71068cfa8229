// Package config caches the objects of the platform's store, spreads them between
// daemons, and carries out conditional writes.
package config

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config identifies this VM and bounds waiting for the store.
type Config struct {
	Self         model.VM
	WriteTimeout time.Duration // after which a command that only restricts becomes an override
}

// Cache is the configuration state of one VM.
type Cache struct{ cfg Config }

// New returns an empty cache.
func New(cfg Config) *Cache { return &Cache{cfg: cfg} }

// Received merges objects from the store or a peer and reports whether anything changed.
func (c *Cache) Received(ev event.ObjectsReceived, now model.Time, out *effect.List) bool {
	return false
}

// StoreFailed notes that the store could not be read.
func (c *Cache) StoreFailed(ev event.StoreFailed, now model.Time, out *effect.List) {}

// PullFailed notes that a peer could not be asked.
func (c *Cache) PullFailed(ev event.PullFailed, now model.Time, out *effect.List) {}

// WriteDone ends or continues a write: lost answers are read back, refused overrides kept.
// It reports whether the configuration changed.
func (c *Cache) WriteDone(ev event.WriteDone, now model.Time, out *effect.List) bool { return false }

// Heartbeat merges overrides of a peer and pulls from it if it is ahead. It reports
// whether the configuration changed.
func (c *Cache) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) bool { return false }

// Tick opens or closes the watch (only watchers hold one) and retries what is due. It
// reports whether the configuration changed.
func (c *Cache) Tick(live []model.VM, now model.Time, out *effect.List) bool { return false }

// Fill sets the fields of a heartbeat that the cache owns.
func (c *Cache) Fill(hb *event.Heartbeat) {}

// Write starts a conditional write. command is the operator's command to answer when it is
// done, or 0.
func (c *Cache) Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
}

// WriteRestriction is Write for a zone-out or a pause: it takes effect as an override at
// once if the store cannot be reached.
func (c *Cache) WriteRestriction(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
}

// Pending reports whether a write of the object is under way.
func (c *Cache) Pending(key model.ObjectKey) bool { return false }

// Get returns the object in force, overrides included.
func (c *Cache) Get(key model.ObjectKey) (model.Object, bool) { return model.Object{}, false }

// All returns the objects of a kind in force, sorted by name.
func (c *Cache) All(kind model.ObjectKind) []model.Object { return nil }

// Newer returns the objects with a version above since, for a peer that pulls, and the
// revision up to which they are complete.
func (c *Cache) Newer(since uint64) ([]model.Object, uint64) { return nil, 0 }

// Overrides returns the restrictions in force that the store has not kept yet.
func (c *Cache) Overrides() []event.Override { return nil }

// Digest identifies the set of objects in force.
func (c *Cache) Digest() uint64 { return 0 }

// Revision returns the highest object version in force.
func (c *Cache) Revision() uint64 { return 0 }

// StoreUp reports whether this VM or a live peer has reached the store in the last seconds.
func (c *Cache) StoreUp(now model.Time) bool { return false }
