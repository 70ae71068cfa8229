// Package membership tracks the VMs of an ownership group: heartbeats, support for
// each other, the platform's lagging list, and the roster of voters.
package membership

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config holds the identity of this VM and the timing of support.
type Config struct {
	Self              model.VM
	Boot              model.Boot
	Group             string
	Zone              model.AvailabilityZone
	Address           string
	HeartbeatInterval time.Duration
	Fence             time.Duration
	Grace             time.Duration
}

// Tracker is the membership state of one VM.
type Tracker struct{ cfg Config }

// New returns the state of a VM that has just started.
func New(cfg Config, now model.Time) *Tracker { return &Tracker{cfg: cfg} }

// Heartbeat takes in a heartbeat of a peer.
func (t *Tracker) Heartbeat(hb *event.Heartbeat, now model.Time) {}

// Listed takes in a reading of the platform's list.
func (t *Tracker) Listed(vms []event.ListedVM, now model.Time) {}

// SetRoster adopts a roster; older revisions are ignored.
func (t *Tracker) SetRoster(r *model.Roster, now model.Time) {}

// Roster returns the roster in use, or nil.
func (t *Tracker) Roster() *model.Roster { return nil }

// NextRoster returns the roster that this VM proposes to write now, if any.
func (t *Tracker) NextRoster(now model.Time) (*model.Roster, bool) { return nil, false }

// Due reports whether the next heartbeat is due.
func (t *Tracker) Due(now model.Time) bool { return false }

// Compose returns the next heartbeat, with the fields that membership owns filled in.
func (t *Tracker) Compose(now model.Time) event.Heartbeat { return event.Heartbeat{} }

// Targets returns the peers that receive heartbeats, sorted by VM.
func (t *Tracker) Targets(now model.Time) []model.Peer { return nil }

// Peers returns every known peer, this VM included.
func (t *Tracker) Peers(now model.Time) map[model.VM]model.Peer { return nil }

// Live returns the VMs that this VM counts as alive, itself included, sorted.
func (t *Tracker) Live(now model.Time) []model.VM { return nil }

// Boot returns the boot with which this VM takes part now.
func (t *Tracker) Boot() model.Boot { return t.cfg.Boot }

// Rejoin draws a new boot after this VM had abstained; it gives no support and claims
// nothing until the start-up delays have passed again.
func (t *Tracker) Rejoin(boot model.Boot, now model.Time) {}
