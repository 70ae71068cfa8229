package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/core/ownership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// holderFixture has the Holder of vm0. The heartbeats of three peers are scripted.
type holderFixture struct {
	tracker    *membership.Tracker
	holder     *ownership.Holder
	now        model.Time
	seq        uint64
	leavingVMs map[model.VM]bool
	out        effect.List
}

// longAttemptTimeout is 200 ms longer than Grace - Fence, so that an unclean takeover has to wait.
const longAttemptTimeout = 900 * time.Millisecond

var peerVMs = []model.VM{"vm1", "vm2", "vm3"}

func newHolderFixture(keys ...ownership.Key) *holderFixture {
	b := &holderFixture{leavingVMs: make(map[model.VM]bool)}
	b.tracker = membership.New(membership.Config{
		Self: "vm0", Boot: 1, Zone: "z0",
		HeartbeatInterval: 100 * time.Millisecond, Fence: 500 * time.Millisecond, Grace: 1200 * time.Millisecond,
	}, 0)
	b.holder = ownership.New(b.tracker)
	b.holder.SetKeys(keys, 0)
	b.tracker.SetRoster(&model.Roster{Revision: 1, VMs: []model.VM{"vm0", "vm1", "vm2", "vm3"}}, 0)
	return b
}

// run delivers a heartbeat of each sender every 50 ms. Each states support for vm0 and all senders.
func (b *holderFixture) run(d time.Duration, senders ...model.VM) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(50 * time.Millisecond)
		b.seq++
		supports := []event.Support{{VM: "vm0", Boot: 1, SentAt: b.now}}
		for _, vm := range senders {
			supports = append(supports, event.Support{VM: vm, Boot: 2})
		}
		for _, vm := range senders {
			b.tracker.Heartbeat(&event.Heartbeat{From: vm, Boot: 2, Sequence: b.seq, Roster: 1, Supports: supports, Leaving: b.leavingVMs[vm]}, b.now)
		}
		b.holder.Update(b.now, &b.out)
	}
}

// findKeyForVM0 returns a key of which vm0 holds the lease while only the peers in senders send
// heartbeats, but not while those in excluded send them too. excluded may be nil.
func findKeyForVM0(senders, excluded []model.VM) ownership.Key {
	for i := 0; ; i++ {
		k := ownership.Key{
			Key:            model.ShardKey{Version: "v", Shard: model.ShardID(rune('A' + i))},
			AttemptTimeout: longAttemptTimeout,
		}
		leased := func(vms []model.VM) bool {
			b := newHolderFixture(k)
			b.run(3*time.Second, vms...)
			return len(b.holder.Leases(b.now)) == 1
		}
		if leased(senders) && (excluded == nil || !leased(append(excluded, senders...))) {
			return k
		}
	}
}

// TestUncleanTakeoverWaits guards against a new owner that dispatches while attempts of the
// previous owner may still run, and against terms that do not rise.
func TestUncleanTakeoverWaits(t *testing.T) {
	is := is.New(t)
	k := findKeyForVM0(peerVMs, nil)
	b := newHolderFixture(k)
	b.run(time.Second, peerVMs...) // supported since 50 ms, start delay over at 560 ms
	is.Equal(len(b.holder.Leases(b.now)), 0)
	b.run(600*time.Millisecond, peerVMs...)
	l, ok := b.holder.Leases(b.now)[k.Key]
	is.True(ok && !l.Clean && l.Term == 1)
	is.Equal(l.Until, b.now.Add(500*time.Millisecond))
	b.run(600*time.Millisecond, "vm1") // no majority
	is.Equal(len(b.holder.Leases(b.now)), 0)
	is.Equal(b.out.Take(), []effect.Effect{effect.DrainKey{Key: k.Key, Term: 1}})
	b.holder.HandleDrained(event.KeyDrained{Key: k.Key, Term: 1}, b.now, &b.out)
	is.Equal(len(b.out.Take()), 0) // an expired lease is not released
	b.run(2500*time.Millisecond, peerVMs...)
	is.Equal(b.holder.Leases(b.now)[k.Key].Term, uint64(2))
}

// TestRelease guards against a handover that loses the running attempts or submits of the previous
// owner, and against accepting a release from a boot that still claims the key.
func TestRelease(t *testing.T) {
	release := func(k ownership.Key, boot model.Boot) *event.Release {
		return &event.Release{From: "vm1", Boot: boot, To: "vm0", Keys: []event.ReleasedKey{{
			Key:     k.Key,
			Running: []event.Remaining{{Server: "s", Left: 700 * time.Millisecond}, {Server: "t", Left: 0}},
			Submits: []event.RecentSubmit{{Dedupe: "d", Age: time.Second, NotRun: true}},
		}}}
	}
	k := findKeyForVM0([]model.VM{"vm2", "vm3"}, []model.VM{"vm1"})
	for _, tt := range []struct {
		name    string
		boot    model.Boot
		leaving bool
		gained  bool
	}{
		{"from a leaving boot", 2, true, true},
		{"from a boot that is not leaving", 2, false, false},
		{"from an unknown boot", 3, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newHolderFixture(k)
			b.leavingVMs["vm1"] = tt.leaving
			b.run(3*time.Second, peerVMs...)
			at := b.now
			b.holder.HandleRelease(release(k, tt.boot), at, &b.out)
			b.holder.Update(at, &b.out)
			l, ok := b.holder.Leases(at)[k.Key]
			is.Equal(ok, tt.gained)
			if tt.gained {
				is.True(l.Clean)
				is.Equal(l.Running, []model.RunningAttempt{{Server: "s", Until: at.Add(700 * time.Millisecond)}})
				is.Equal(l.Submits, []model.SeenSubmit{{Dedupe: "d", Seen: at.Add(-time.Second), NotRun: true}})
			}
		})
	}
}

// TestLeave guards against a VM that abstains while it still holds keys, or claims keys afterwards.
func TestLeave(t *testing.T) {
	is := is.New(t)
	k := findKeyForVM0(peerVMs, nil)
	b := newHolderFixture(k)
	b.run(3*time.Second, peerVMs...)
	b.holder.SetLeaving(true, b.now, &b.out)
	b.run(200*time.Millisecond, peerVMs...)
	is.Equal(b.out.Take(), []effect.Effect{effect.DrainKey{Key: k.Key, Term: 1}})
	is.True(!b.holder.Abstained())
	b.holder.HandleDrained(event.KeyDrained{Key: k.Key, Term: 1}, b.now, &b.out)
	rel, ok := b.out.Take()[0].(effect.SendRelease)
	is.True(ok && rel.Release.Boot == 1)
	is.Equal(b.holder.Owners(b.now)[k.Key].VM, rel.To)
	b.run(2*time.Second, peerVMs...)
	is.True(b.holder.Abstained() && b.tracker.ComposeHeartbeat(b.now).Abstains)
	is.Equal(len(b.holder.Leases(b.now)), 0)
}
