package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const ms = model.Time(time.Millisecond)

func newTracker(self model.VM) *Tracker {
	return New(Config{
		Self: self, Boot: 1, Group: "g", Zone: "z", Address: string(self) + ":1",
		HeartbeatInterval: 100 * time.Millisecond,
		Fence:             500 * time.Millisecond,
		Grace:             1200 * time.Millisecond,
	}, 0)
}

// beat is a heartbeat that echoes the send time echo of VM a, boot 1, if it is not negative.
func beat(from model.VM, boot model.Boot, seq uint64, roster uint64, echo model.Time) *event.Heartbeat {
	hb := &event.Heartbeat{From: from, Boot: boot, Sequence: seq, SentAt: model.Time(seq), Roster: roster, Address: string(from) + ":1"}
	if echo >= 0 {
		hb.Supports = []event.Support{{VM: "a", Boot: 1, SentAt: echo}}
	}
	return hb
}

func rosterOf(revision uint64, vms ...model.VM) *model.Roster {
	return &model.Roster{Group: "g", Revision: revision, VMs: vms}
}

// Guards against support or statements that count longer than their echoed send times allow.
func TestSupportCountsFromEchoedSendTime(t *testing.T) {
	tests := []struct {
		name  string
		hb    *event.Heartbeat
		until model.Time // of the majority a, b of a, b, c
	}{
		{"echo counts for Fence after the send time", beat("b", 2, 1, 1, 1900*ms), 2400 * ms},
		{"no echo, no vote", beat("b", 2, 1, 1, -1), longAgo + 500*ms},
		{"other roster, no vote", beat("b", 2, 1, 2, 1900*ms), longAgo + 500*ms},
		{"echo of another boot", &event.Heartbeat{
			From: "b", Boot: 2, Sequence: 1, Roster: 1,
			Supports: []event.Support{{VM: "a", Boot: 9, SentAt: 1900 * ms}},
		}, longAgo + 500*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker("a")
			tr.SetRoster(rosterOf(1, "a", "b", "c"), 0)
			tr.Heartbeat(tt.hb, 2000*ms)
			is.Equal(max(tr.Support(2000*ms).Until, longAgo+500*ms), tt.until)
		})
	}
}

// Guards against a start delay that begins with support given under the former roster: a new
// voter would gain keys that a VM still holds by that roster.
func TestRosterStepRestartsStartDelay(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(rosterOf(1, "b", "c"), 0)
	tr.Heartbeat(beat("b", 2, 1, 1, 1990*ms), 2000*ms)
	tr.Heartbeat(beat("c", 2, 1, 1, 1990*ms), 2000*ms)
	tr.SetRoster(rosterOf(2, "a", "b", "c"), 2010*ms)
	is.Equal(tr.Support(2010*ms).Since, model.Never)
	tr.Heartbeat(beat("b", 2, 2, 2, 2090*ms), 2100*ms)
	is.Equal(tr.Support(2100*ms).Since, 2100*ms)
	tr.SetRoster(rosterOf(3, "a", "b"), 2200*ms)
	is.Equal(tr.Support(2200*ms), Support{Until: 2590 * ms, Since: model.Never}) // renewal goes on
	tr.SetRoster(rosterOf(5, "a", "b", "d"), 2300*ms)
	is.True(tr.Support(2300*ms).Until < 0) // a greater step drops all statements
}

// Guards against a vote of a VM that has forgotten its promises.
func TestNoVoteWithinGraceOfStart(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(rosterOf(1, "a"), 0)
	tr.Heartbeat(beat("b", 2, 1, 1, -1), 1000*ms)
	is.Equal(len(tr.Compose(1100*ms).Supports), 0)
	is.True(tr.Support(1199*ms).Until < 0)
	is.Equal(len(tr.Compose(1200*ms).Supports), 1)
	is.Equal(tr.Support(1200*ms).Until, 1700*ms)
	tr.Rejoin(7, 2000*ms)
	is.Equal(len(tr.Compose(2100*ms).Supports), 0)
	is.True(tr.Support(2100*ms).Until < 2100*ms)
}

// Guards against a promise that is broken: support must last Grace from the last heartbeat,
// whatever arrives late, and a statement against a VM counts for Fence after it was ended.
func TestPromises(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(rosterOf(1, "a", "b"), 0)
	supports := func(at model.Time) bool { return len(tr.supports(at)) == 1 }
	tr.Heartbeat(beat("b", 2, 5, 1, -1), 2000*ms)
	is.Equal(tr.ownAgainst("b", 0, 2100*ms), 2500*ms)
	tr.Heartbeat(beat("b", 2, 4, 1, -1), 2500*ms) // overtaken
	is.True(supports(3199 * ms))
	is.True(!supports(3200 * ms))
	tr.Heartbeat(beat("b", 2, 6, 2, -1), 3300*ms) // other roster
	is.True(!supports(3300 * ms))
	tr.Heartbeat(beat("b", 2, 7, 1, -1), 3400*ms)
	tr.Heartbeat(beat("b", 3, 1, 0, -1), 3500*ms) // restarted, has no roster yet
	is.True(supports(4500 * ms))                  // the promise to the former boot stays
	is.Equal(tr.supports(4500 * ms)[0].Boot, model.Boot(2))
	tr.Heartbeat(beat("b", 2, 8, 1, -1), 4550*ms) // late heartbeat of the former boot
	is.Equal(tr.Status("b", 4550*ms).Boot, model.Boot(3))
	tr.Heartbeat(beat("b", 3, 2, 1, -1), 4560*ms)
	hb := beat("b", 3, 3, 1, -1)
	hb.Abstains = true
	tr.Heartbeat(hb, 4600*ms)
	is.True(!supports(4600 * ms)) // a boot that has abstained needs no support
}

// Guards against a late heartbeat of a former boot that shuts the present boot out for ever.
func TestLateFormerBoot(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.Heartbeat(beat("b", 3, 8, 0, -1), 0)
	tr.Heartbeat(beat("b", 2, 9, 0, -1), 100*ms) // this VM cannot know that boot 2 is the older one
	tr.Heartbeat(beat("b", 3, 9, 0, -1), 200*ms)
	is.Equal(tr.Status("b", 200*ms).Boot, model.Boot(2))
	tr.Heartbeat(beat("b", 3, 20, 0, -1), 1300*ms)
	is.Equal(tr.Status("b", 1300*ms).Boot, model.Boot(3))
}

// Guards against peers that are forgotten too early, kept for ever or never contacted.
func TestPeers(t *testing.T) {
	is := is.New(t)
	tr := newTracker("b")
	tr.Listed([]event.ListedVM{{VM: "b"}, {VM: "c", Address: "c:1"}}, 0)
	tr.Heartbeat(beat("a", 2, 1, 9, -1), 100*ms)
	is.Equal(len(tr.Targets(100*ms)), 2)
	is.Equal(tr.Targets(100 * ms)[1].Address, "c:1")
	is.Equal(tr.Live(100*ms), []model.VM{"a", "b"}) // whatever roster a uses
	is.Equal(tr.Live(1300*ms), []model.VM{"b"})
	is.Equal(len(tr.Peers(10099*ms)), 3)
	is.Equal(len(tr.Targets(10100*ms)), 1) // a is not listed and was not heard for 10 s
	is.Equal(tr.Targets(10100 * ms)[0].VM, model.VM("c"))
}

// Guards against rosters that are proposed too early, by the wrong VM, or that change by
// more than one VM.
func TestNextRoster(t *testing.T) {
	listed := func(vms ...model.VM) []event.ListedVM {
		var l []event.ListedVM
		for _, vm := range vms {
			l = append(l, event.ListedVM{VM: vm, Address: string(vm)})
		}
		return l
	}
	// hear feeds heartbeats of the VMs every 100 ms from start to end.
	hear := func(tr *Tracker, start, end model.Time, roster uint64, vms ...model.VM) {
		for at := start; at <= end; at += 100 * ms {
			for _, vm := range vms {
				tr.Heartbeat(beat(vm, 2, uint64(at/ms)+1, roster, at), at)
			}
		}
	}
	tests := []struct {
		name string
		run  func(tr *Tracker)
		at   model.Time
		want []model.VM
	}{
		{"first roster waits", func(tr *Tracker) { hear(tr, 0, 900*ms, 0, "b", "c") }, 900 * ms, nil},
		{"first roster lists all heard", func(tr *Tracker) { hear(tr, 0, 1000*ms, 0, "c", "b") }, 1000 * ms, []model.VM{"a", "b", "c"}},
		{"a roster exists elsewhere", func(tr *Tracker) { hear(tr, 0, 1000*ms, 3, "b") }, 1000 * ms, nil},
		{"not the first by name", func(tr *Tracker) { hear(tr, 0, 1000*ms, 0, "A", "b") }, 1000 * ms, nil},
		{"silent VM is removed", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 10000*ms, 4, "b")
		}, 10000 * ms, []model.VM{"a", "b"}},
		{"silent VM stays for 10 s", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 9900*ms, 4, "b")
		}, 9900 * ms, nil},
		{"a gap of this VM proves no silence", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 500*ms, 4, "b", "c")
			hear(tr, 15000*ms, 15000*ms, 4, "b")
		}, 15000 * ms, nil},
		{"the majority must use the current revision", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 10000*ms, 3, "b")
		}, 10000 * ms, nil},
		{"VM that left the list is removed", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 500*ms, 4, "b")
			hb := beat("c", 2, 1, 4, -1)
			hb.Leaving, hb.Abstains = true, true
			tr.Heartbeat(hb, 500*ms)
			tr.Listed(listed("a", "b"), 500*ms)
		}, 500 * ms, []model.VM{"a", "b"}},
		{"a pause keeps it while it sends heartbeats", func(tr *Tracker) {
			tr.SetPaused(true)
			tr.SetRoster(rosterOf(4, "a", "b", "c"), 0)
			hear(tr, 0, 500*ms, 4, "b")
			hb := beat("c", 2, 1, 4, -1)
			hb.Leaving, hb.Abstains = true, true
			tr.Heartbeat(hb, 500*ms)
			tr.Listed(listed("a", "b"), 500*ms)
		}, 500 * ms, nil},
		{"one VM is added after 1 s", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b"), 0)
			tr.Listed(listed("a", "b", "c", "d"), 0)
			hear(tr, 0, 1000*ms, 4, "b", "c", "d")
		}, 1000 * ms, []model.VM{"a", "b", "c"}},
		{"unlisted VM is not added", func(tr *Tracker) {
			tr.SetRoster(rosterOf(4, "a", "b"), 0)
			tr.Listed(listed("a", "b"), 0)
			hear(tr, 0, 1000*ms, 4, "b", "c")
		}, 1000 * ms, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker("a")
			tt.run(tr)
			next, ok := tr.NextRoster(tt.at)
			is.Equal(ok, tt.want != nil)
			if ok {
				is.Equal(next.VMs, tt.want)
				is.Equal(next.Revision, tr.revision()+1)
			}
		})
	}
}
