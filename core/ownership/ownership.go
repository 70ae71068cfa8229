// Package ownership decides which shard keys this VM may dispatch for. This first version
// takes the top-ranked VM that was heard within Grace as the owner; it asks for no quorum
// and has no fence, so two VMs with different views own the same key.
package ownership

import (
	"slices"
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
	Revision       uint64 // version of the object that the key comes from
}

// Holder is the ownership state of one VM.
type Holder struct {
	tracker *membership.Tracker
	leaving bool
	keys    []Key
	owners  map[model.ShardKey]model.Owner
	now     model.Time
}

// New returns a holder that owns nothing.
func New(tracker *membership.Tracker) *Holder { return &Holder{tracker: tracker} }

// SetKeys replaces the shard keys to be owned.
func (h *Holder) SetKeys(keys []Key, now model.Time) { h.keys = keys }

// Update takes the best-ranked VM heard within Grace as the owner of each key.
func (h *Holder) Update(now model.Time, out *effect.List) {
	h.now = now
	h.owners = make(map[model.ShardKey]model.Owner, len(h.keys))
	vms := h.tracker.Candidates()
	self := slices.Index(vms, h.tracker.Config().Self)
	for _, k := range h.keys {
		for _, i := range rank(h.tracker, vms, self, k.Key.String(), k.Zones).order {
			s := h.tracker.Status(vms[i], now)
			if (i == self && !h.leaving) || (s.Alive && !s.Leaving) {
				h.owners[k.Key] = model.Owner{VM: vms[i], Boot: s.Boot}
				break
			}
		}
	}
	h.tracker.SetPart(h.leaving, h.leaving)
}

// Drained does nothing in this version.
func (h *Holder) Drained(ev event.KeyDrained, now model.Time, out *effect.List) {}

// Released does nothing in this version.
func (h *Holder) Released(rel *event.Release, now model.Time, out *effect.List) {}

// SetLeaving starts or ends the hand-over of all keys. Rejoining needs a new boot.
func (h *Holder) SetLeaving(leaving bool, now model.Time, out *effect.List) { h.leaving = leaving }

// Fill sets the fields of a heartbeat that ownership owns.
func (h *Holder) Fill(hb *event.Heartbeat) { hb.Leaving, hb.Abstains = h.leaving, h.leaving }

// Abstained reports whether this VM has handed everything over and claims nothing.
func (h *Holder) Abstained() bool { return h.leaving }

// Leases returns the keys that this VM may dispatch for, with the end of each lease.
func (h *Holder) Leases(now model.Time) map[model.ShardKey]model.Lease {
	leases := make(map[model.ShardKey]model.Lease)
	for k, o := range h.owners {
		if o.VM == h.tracker.Config().Self {
			leases[k] = model.Lease{Until: h.now.Add(h.tracker.Config().HeartbeatInterval), Term: 1}
		}
	}
	return leases
}

// Owners returns whom this VM believes to own each key.
func (h *Holder) Owners(now model.Time) map[model.ShardKey]model.Owner { return h.owners }
