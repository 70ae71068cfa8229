// Package ownership decides which shard keys this VM may dispatch for, by weighted
// rendezvous ranking over the roster and leases made of support statements.
package ownership

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Key is one shard key to be owned.
type Key struct {
	Key            model.ShardKey
	Zones          []model.AvailabilityZone // zones of its replicas
	AttemptTimeout time.Duration
}

// Holder is the ownership state of one VM.
type Holder struct{ tracker *membership.Tracker }

// New returns a holder that owns nothing.
func New(tracker *membership.Tracker) *Holder { return &Holder{tracker: tracker} }

// SetKeys replaces the shard keys to be owned.
func (h *Holder) SetKeys(keys []Key, now model.Time) {}

// Update renews, gains and loses leases by the statements that count now. It asks for
// effect.DrainKey for keys that a better-ranked VM should get.
func (h *Holder) Update(now model.Time, out *effect.List) {}

// Drained continues the hand-over of a key that traffic has stopped dispatching for.
func (h *Holder) Drained(ev event.KeyDrained, now model.Time, out *effect.List) {}

// Released takes over keys from their previous owner.
func (h *Holder) Released(rel *event.Release, now model.Time, out *effect.List) {}

// SetLeaving starts or ends the hand-over of all keys. Rejoining needs a new boot.
func (h *Holder) SetLeaving(leaving bool, now model.Time, out *effect.List) {}

// Fill sets the fields of a heartbeat that ownership owns.
func (h *Holder) Fill(hb *event.Heartbeat) {}

// Abstained reports whether this VM has handed everything over and claims nothing.
func (h *Holder) Abstained() bool { return false }

// Leases returns the keys that this VM may dispatch for, with the end of each lease.
func (h *Holder) Leases(now model.Time) map[model.ShardKey]model.Lease { return nil }

// Owners returns whom this VM believes to own each key.
func (h *Holder) Owners(now model.Time) map[model.ShardKey]model.Owner { return nil }
