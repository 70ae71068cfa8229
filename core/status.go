package core

import (
	"cmp"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/automation"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Status describes the deployment as one daemon sees it.
type Status struct {
	VM             model.VM
	Boot           model.Boot
	Zone           model.AvailabilityZone
	Revision       uint64
	StoreUp        bool
	RosterRevision uint64
	Draining       bool // this VM is leaving or its zone is out
	Automation     model.AutomationState
	ZonesOut       []model.AvailabilityZone // sorted
	Overrides      []model.ObjectKey        // in force but not yet written to the store
	OwnedShards    int                      // shard keys for which this VM holds a valid lease
	WantedShards   int                      // shard keys in all templates
	Members        []MemberStatus           // sorted by VM
}

// MemberStatus describes one VM of the ownership group as a daemon sees it.
type MemberStatus struct {
	model.Peer
	Voter    bool
	Revision uint64 // highest object version that the VM has in force
}

// Status returns the status at now.
func (c *Control) Status(now model.Time) Status {
	s := Status{
		VM:           c.cfg.Self,
		Boot:         c.members.Boot(),
		Zone:         c.cfg.Zone,
		Revision:     c.config.Revision(),
		StoreUp:      c.config.StoreUp(now),
		Draining:     c.outOfService,
		Automation:   automation.State(c.config, c.wall),
		OwnedShards:  c.ownedShards(now),
		WantedShards: c.wantedShards,
	}
	for z, out := range c.configView.ZonesOut {
		if out {
			s.ZonesOut = append(s.ZonesOut, z)
		}
	}
	slices.Sort(s.ZonesOut)
	for _, o := range c.config.Overrides() {
		s.Overrides = append(s.Overrides, o.Key)
	}
	s.Members = c.memberStatus(now)
	if r := c.members.Roster(); r != nil {
		s.RosterRevision = r.Revision
	}
	return s
}

func (c *Control) ownedShards(now model.Time) int {
	n := 0
	for _, l := range c.keys.Leases(now) {
		if now < l.Until {
			n++
		}
	}
	return n
}

func (c *Control) memberStatus(now model.Time) []MemberStatus {
	var list []MemberStatus
	roster := c.members.Roster()
	for _, p := range c.members.Peers(now) {
		m := MemberStatus{Peer: p, Revision: c.revisions[p.VM]}
		if p.VM == c.cfg.Self {
			m.Revision = c.config.Revision()
		}
		m.Voter = roster != nil && roster.Has(p.VM)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b MemberStatus) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Object returns an object in force.
func (c *Control) Object(key model.ObjectKey) (model.Object, bool) { return c.config.Get(key) }

// Objects returns the objects of one kind in force, sorted by name.
func (c *Control) Objects(kind model.ObjectKind) []model.Object { return c.config.All(kind) }

// ObjectsSince returns the objects with a version above since and the revision up to which they
// are complete.
func (c *Control) ObjectsSince(since uint64) ([]model.Object, uint64) {
	return c.config.ObjectsSince(since)
}

// Moves returns a report on each move, sorted by name.
func (c *Control) Moves() []moves.Report { return c.moves.Reports() }
