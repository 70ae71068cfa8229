// Package admission is the owner side of the traffic role: it queues sub-requests for the
// shard keys that this VM owns and keeps every backend server within its limits.
package admission

import (
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Owner holds the owned shard keys of one traffic worker.
type Owner struct{}

// New returns an owner without keys.
func New() *Owner { return &Owner{} }

// View replaces the view: leases, limits, zones and backend servers.
func (o *Owner) View(v *model.View, now model.Time, out *effect.List) {}

// Requests takes in sub-requests of entry daemons.
func (o *Owner) Requests(ev event.SubRequestsReceived, now model.Time, out *effect.List) {}

// Cancels withdraws sub-requests.
func (o *Owner) Cancels(ev event.CancelsReceived, now model.Time, out *effect.List) {}

// AttemptDone ends an attempt and frees its slot.
func (o *Owner) AttemptDone(ev event.AttemptDone, now model.Time, out *effect.List) {}

// PeerLost drops the queued sub-requests of an entry daemon whose connection broke.
func (o *Owner) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {}

// Drain stops dispatching for a key and reports event.KeyDrained.
func (o *Owner) Drain(ev event.DrainKey, now model.Time, out *effect.List) {}

// Wake handles deadlines, hedges and recoveries that are due.
func (o *Owner) Wake(now model.Time, out *effect.List) {}

// NextWake returns the earliest time at which Wake has work to do.
func (o *Owner) NextWake() model.Time { return model.Never }

// Idle reports whether no attempt runs and nothing is queued.
func (o *Owner) Idle() bool { return true }
