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

// heartbeat returns a heartbeat that echoes the send time echo of VM a, boot 1, unless echo is
// negative.
func heartbeat(from model.VM, boot model.Boot, seq uint64, roster uint64, echo model.Time) *event.Heartbeat {
	hb := &event.Heartbeat{From: from, Boot: boot, Sequence: seq, SentAt: model.Time(seq), Roster: roster, Address: string(from) + ":1"}
	if echo >= 0 {
		hb.Supports = []event.Support{{VM: "a", Boot: 1, SentAt: echo}}
	}
	return hb
}

func newRoster(revision uint64, vms ...model.VM) *model.Roster {
	return &model.Roster{Group: "g", Revision: revision, VMs: vms}
}

// Guards against support that is considered valid for longer than Fence after the echoed send
// time, or without a valid echo.
func TestSupportCountsFromEchoedSendTime(t *testing.T) {
	tests := []struct {
		name  string
		hb    *event.Heartbeat
		until model.Time // end of the support by a and b, a majority of a, b, c
	}{
		{"support is valid for Fence after the echoed send time", heartbeat("b", 2, 1, 1, 1900*ms), 2400 * ms},
		{"no support without an echo", heartbeat("b", 2, 1, 1, -1), distantPast + 500*ms},
		{"no support under another roster", heartbeat("b", 2, 1, 2, 1900*ms), distantPast + 500*ms},
		{"no support by an echo of another boot", &event.Heartbeat{
			From: "b", Boot: 2, Sequence: 1, Roster: 1,
			Supports: []event.Support{{VM: "a", Boot: 9, SentAt: 1900 * ms}},
		}, distantPast + 500*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker("a")
			tr.SetRoster(newRoster(1, "a", "b", "c"), 0)
			tr.Heartbeat(tt.hb, 2000*ms)
			is.Equal(max(tr.Support(2000*ms).Until, distantPast+500*ms), tt.until)
		})
	}
}

// Guards against a start delay that begins with support stated under the former roster. A new
// voter would then gain keys that another VM still holds under that roster.
func TestRosterStepRestartsStartDelay(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(newRoster(1, "b", "c"), 0)
	tr.Heartbeat(heartbeat("b", 2, 1, 1, 1990*ms), 2000*ms)
	tr.Heartbeat(heartbeat("c", 2, 1, 1, 1990*ms), 2000*ms)
	tr.SetRoster(newRoster(2, "a", "b", "c"), 2010*ms)
	is.Equal(tr.Support(2010*ms).Since, model.Never)
	tr.Heartbeat(heartbeat("b", 2, 2, 2, 2090*ms), 2100*ms)
	is.Equal(tr.Support(2100*ms).Since, 2100*ms)
	tr.SetRoster(newRoster(3, "a", "b"), 2200*ms)
	is.Equal(tr.Support(2200*ms), Support{Until: 2590 * ms, Since: model.Never}) // leases can still be renewed
	tr.SetRoster(newRoster(5, "a", "b", "d"), 2300*ms)
	is.True(tr.Support(2300*ms).Until < 0) // a skipped revision drops all statements
}

// Guards against support stated within Grace of a start, when this VM does not know what
// support it granted before.
func TestNoSupportWithinGraceOfStart(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(newRoster(1, "a"), 0)
	tr.Heartbeat(heartbeat("b", 2, 1, 1, -1), 1000*ms)
	is.Equal(len(tr.ComposeHeartbeat(1100*ms).Supports), 0)
	is.True(tr.Support(1199*ms).Until < 0)
	is.Equal(len(tr.ComposeHeartbeat(1200*ms).Supports), 1)
	is.Equal(tr.Support(1200*ms).Until, 1700*ms)
	tr.Rejoin(7, 2000*ms)
	is.Equal(len(tr.ComposeHeartbeat(2100*ms).Supports), 0)
	is.True(tr.Support(2100*ms).Until < 2100*ms)
}

// Guards against support that ends earlier than Grace after the last heartbeat when heartbeats
// arrive late or from another boot, and against a statement of no support that is valid for
// less than Fence after support began.
func TestSupportLastsGrace(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.SetRoster(newRoster(1, "a", "b"), 0)
	supports := func(at model.Time) bool { return len(tr.supports(at)) == 1 }
	tr.Heartbeat(heartbeat("b", 2, 5, 1, -1), 2000*ms)
	is.Equal(tr.ownUnsupportedUntil("b", 0, 2100*ms), 2500*ms)
	tr.Heartbeat(heartbeat("b", 2, 4, 1, -1), 2500*ms) // sent before the last one received
	is.True(supports(3199 * ms))
	is.True(!supports(3200 * ms))
	tr.Heartbeat(heartbeat("b", 2, 6, 2, -1), 3300*ms) // other roster
	is.True(!supports(3300 * ms))
	tr.Heartbeat(heartbeat("b", 2, 7, 1, -1), 3400*ms)
	tr.Heartbeat(heartbeat("b", 3, 1, 0, -1), 3500*ms) // restarted, has no roster yet
	is.True(supports(4500 * ms))                       // the former boot is still supported
	is.Equal(tr.supports(4500 * ms)[0].Boot, model.Boot(2))
	tr.Heartbeat(heartbeat("b", 2, 8, 1, -1), 4550*ms) // late heartbeat of the former boot
	is.Equal(tr.Status("b", 4550*ms).Boot, model.Boot(3))
	tr.Heartbeat(heartbeat("b", 3, 2, 1, -1), 4560*ms)
	hb := heartbeat("b", 3, 3, 1, -1)
	hb.Abstains = true
	tr.Heartbeat(hb, 4600*ms)
	is.True(!supports(4600 * ms)) // a boot that has abstained needs no support
}

// Guards against a late heartbeat of a former boot after which the heartbeats of the current
// boot are dropped forever.
func TestLateFormerBoot(t *testing.T) {
	is := is.New(t)
	tr := newTracker("a")
	tr.Heartbeat(heartbeat("b", 3, 8, 0, -1), 0)
	tr.Heartbeat(heartbeat("b", 2, 9, 0, -1), 100*ms) // this VM cannot know that boot 2 is the older one
	tr.Heartbeat(heartbeat("b", 3, 9, 0, -1), 200*ms)
	is.Equal(tr.Status("b", 200*ms).Boot, model.Boot(2))
	tr.Heartbeat(heartbeat("b", 3, 20, 0, -1), 1300*ms)
	is.Equal(tr.Status("b", 1300*ms).Boot, model.Boot(3))
}

// Guards against peers that are dropped too early, kept forever or never sent heartbeats.
func TestPeers(t *testing.T) {
	is := is.New(t)
	tr := newTracker("b")
	tr.Listed([]event.ListedVM{{VM: "b"}, {VM: "c", Address: "c:1"}}, 0)
	tr.Heartbeat(heartbeat("a", 2, 1, 9, -1), 100*ms)
	is.Equal(len(tr.Targets(100*ms)), 2)
	is.Equal(tr.Targets(100 * ms)[1].Address, "c:1")
	is.Equal(tr.Live(100*ms), []model.VM{"a", "b"}) // independent of the roster that a uses
	is.Equal(tr.Live(1300*ms), []model.VM{"b"})
	is.Equal(len(tr.Peers(10099*ms)), 3)
	is.Equal(len(tr.Targets(10100*ms)), 1) // a is not listed and has sent no heartbeat for 10 s
	is.Equal(tr.Targets(10100 * ms)[0].VM, model.VM("c"))
}

// Guards against rosters that are proposed too early or by the wrong VM, and against changes
// by more than one VM.
func TestNextRoster(t *testing.T) {
	listed := func(vms ...model.VM) []event.ListedVM {
		var l []event.ListedVM
		for _, vm := range vms {
			l = append(l, event.ListedVM{VM: vm, Address: string(vm)})
		}
		return l
	}
	// receive passes on heartbeats of the VMs every 100 ms from start to end.
	receive := func(tr *Tracker, start, end model.Time, roster uint64, vms ...model.VM) {
		for at := start; at <= end; at += 100 * ms {
			for _, vm := range vms {
				tr.Heartbeat(heartbeat(vm, 2, uint64(at/ms)+1, roster, at), at)
			}
		}
	}
	tests := []struct {
		name string
		run  func(tr *Tracker)
		at   model.Time
		want []model.VM
	}{
		{"first roster waits", func(tr *Tracker) { receive(tr, 0, 900*ms, 0, "b", "c") }, 900 * ms, nil},
		{"first roster has all live VMs", func(tr *Tracker) { receive(tr, 0, 1000*ms, 0, "c", "b") }, 1000 * ms, []model.VM{"a", "b", "c"}},
		{"a peer uses a roster", func(tr *Tracker) { receive(tr, 0, 1000*ms, 3, "b") }, 1000 * ms, nil},
		{"not the first by name", func(tr *Tracker) { receive(tr, 0, 1000*ms, 0, "A", "b") }, 1000 * ms, nil},
		{"silent VM is removed", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 10000*ms, 4, "b")
		}, 10000 * ms, []model.VM{"a", "b"}},
		{"silent VM is kept for 10 s", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 9900*ms, 4, "b")
		}, 9900 * ms, nil},
		{"no removal after a gap between events", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 500*ms, 4, "b", "c")
			receive(tr, 15000*ms, 15000*ms, 4, "b")
		}, 15000 * ms, nil},
		{"the majority must use the current revision", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 10000*ms, 3, "b")
		}, 10000 * ms, nil},
		{"VM that left the list is removed", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 500*ms, 4, "b")
			hb := heartbeat("c", 2, 1, 4, -1)
			hb.Leaving, hb.Abstains = true, true
			tr.Heartbeat(hb, 500*ms)
			tr.Listed(listed("a", "b"), 500*ms)
		}, 500 * ms, []model.VM{"a", "b"}},
		{"VM that left the list is kept during a pause while it sends heartbeats", func(tr *Tracker) {
			tr.SetPaused(true)
			tr.SetRoster(newRoster(4, "a", "b", "c"), 0)
			receive(tr, 0, 500*ms, 4, "b")
			hb := heartbeat("c", 2, 1, 4, -1)
			hb.Leaving, hb.Abstains = true, true
			tr.Heartbeat(hb, 500*ms)
			tr.Listed(listed("a", "b"), 500*ms)
		}, 500 * ms, nil},
		{"one VM is added after 1 s", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b"), 0)
			tr.Listed(listed("a", "b", "c", "d"), 0)
			receive(tr, 0, 1000*ms, 4, "b", "c", "d")
		}, 1000 * ms, []model.VM{"a", "b", "c"}},
		{"unlisted VM is not added", func(tr *Tracker) {
			tr.SetRoster(newRoster(4, "a", "b"), 0)
			tr.Listed(listed("a", "b"), 0)
			receive(tr, 0, 1000*ms, 4, "b", "c")
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
