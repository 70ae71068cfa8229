package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/zones"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// bench drives one cache by hand.
type bench struct {
	cache *config.Cache
	now   model.Time
	write effect.WriteObject // the last one sent
	reads int
	sent  int
	pulls []effect.PullObjects
	logs  int
	reply *effect.CommandResult
}

func newBench(objects ...model.Object) *bench {
	b := &bench{cache: config.New(config.Config{Self: "vm5", Boot: 1, WriteTimeout: writeTimeout})}
	b.do(func(out *effect.List) {
		b.cache.Received(event.ObjectsReceived{FromStore: true, Revision: 5, Objects: objects}, b.now, out)
	})
	return b
}

func (b *bench) do(f func(out *effect.List)) {
	var out effect.List
	f(&out)
	for _, e := range out.Take() {
		switch e := e.(type) {
		case effect.WriteObject:
			b.write = e
			b.sent++
		case effect.ReadObject:
			b.reads++
		case effect.PullObjects:
			b.pulls = append(b.pulls, e)
		case effect.Log:
			b.logs++
		case effect.ReplyOperator:
			b.reply = &e.Result
		}
	}
}

// code returns the code of the last answer, "" for none.
func (b *bench) code() effect.CommandCode {
	if b.reply == nil {
		return ""
	}
	return b.reply.Code
}

func (b *bench) done(number uint64, outcome event.WriteOutcome, o model.Object) {
	b.do(func(out *effect.List) {
		b.cache.WriteDone(event.WriteDone{Write: number, Outcome: outcome, Object: o}, b.now, out)
	})
}

func (b *bench) read(o model.Object) {
	b.do(func(out *effect.List) {
		b.cache.Received(event.ObjectsReceived{FromStore: true, Objects: []model.Object{o}}, b.now, out)
	})
}

func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(tickInterval)
		b.do(func(out *effect.List) { b.cache.Tick([]model.VM{"vm1", "vm2", "vm5"}, b.now, out) })
	}
}

func (b *bench) heartbeat(hb event.Heartbeat) {
	b.do(func(out *effect.List) { b.cache.Heartbeat(&hb, b.now, out) })
}

func zoneObject(version, base uint64, out bool, by string) model.Object {
	return model.Object{
		Key:     zones.Key("z0"),
		Version: version,
		Base:    base,
		Write:   model.WriteID{VM: model.VM(by), Boot: 1, Number: version},
		Zone:    &model.ZoneState{Zone: "z0", Out: out, Reason: by, By: by, At: wallStart},
	}
}

func (b *bench) setZone(out bool) {
	b.do(func(l *effect.List) {
		cmd := event.SetZone{Zone: "z0", Out: out, Reason: "mine"}
		zones.Command(b.cache, 1, "kari", cmd, wallStart, b.now, l)
	})
}

func stored(e effect.WriteObject, version uint64) model.Object {
	o := e.Object
	o.Version = version
	return o
}

// Guards against an answer that is untrue after a lost response.
func TestAnswersAfterLostResponse(t *testing.T) {
	const none = effect.CommandCode("")
	lose := func(b *bench) { b.done(b.write.Write, event.WriteUnknown, model.Object{}) }
	tests := []struct {
		name string
		out  bool
		then func(b *bench)
		want effect.CommandCode
	}{
		{"written", false, func(b *bench) { b.read(stored(b.write, 8)) }, effect.CommandOK},
		{"another write took the base", false, func(b *bench) { b.read(zoneObject(8, 5, true, "ola")) }, effect.CommandConflict},
		{"two later versions", false, func(b *bench) { b.read(zoneObject(9, 8, true, "ola")) }, effect.CommandUnknown},
		{"foreign object", false, func(b *bench) {
			o := zoneObject(9, 0, true, "ola")
			o.Write = model.WriteID{}
			b.read(o)
		}, effect.CommandUnknown},
		{"old version, retry written", false, func(b *bench) {
			b.read(zoneObject(5, 0, true, "ola"))
			b.done(b.write.Write, event.WriteOK, stored(b.write, 8))
		}, effect.CommandOK},
		{"old version, the first attempt lands before the retry", false, func(b *bench) {
			b.read(zoneObject(5, 0, true, "ola"))
			b.done(b.write.Write, event.WriteConflict, stored(b.write, 8))
		}, effect.CommandOK},
		{"old version, the store fails at the retry", false, func(b *bench) {
			b.read(zoneObject(5, 0, true, "ola"))
			b.done(b.write.Write, event.WriteFailed, model.Object{})
		}, none}, // the first attempt may still land
		{"no read back", false, func(b *bench) { b.wait(writeTimeout) }, effect.CommandUnknown},
		{"zone out without read back", true, func(b *bench) { b.wait(writeTimeout) }, effect.CommandOverride},
		{"zone out, the store fails at the retry", true, func(b *bench) {
			b.read(zoneObject(5, 0, true, "ola"))
			b.done(b.write.Write, event.WriteFailed, model.Object{})
		}, effect.CommandOverride},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(zoneObject(5, 0, true, "ola"))
			b.setZone(tt.out)
			lose(b)
			is.Equal(b.reads, 1)
			is.Equal(b.code(), none)
			tt.then(b)
			is.Equal(b.code(), tt.want)
		})
	}
}

// Guards against a late answer to an abandoned write that changes a later one.
func TestLateAnswerOfAbandonedWrite(t *testing.T) {
	is := is.New(t)
	b := newBench(zoneObject(5, 0, true, "ola"))
	b.setZone(false)
	abandoned := b.write
	b.wait(2*writeTimeout + time.Second) // no answer, no read back
	is.Equal(b.code(), effect.CommandUnknown)
	is.True(!b.cache.Pending(zones.Key("z0")))

	b.reply = nil
	b.setZone(true)
	b.done(abandoned.Write, event.WriteFailed, model.Object{})
	is.Equal(b.code(), effect.CommandCode(""))
	b.done(abandoned.Write, event.WriteOK, stored(abandoned, 8))
	is.Equal(b.code(), effect.CommandConflict) // version 8 took the base of the second write
	got, _ := b.cache.Get(zones.Key("z0"))
	is.Equal(got.Version, uint64(8))
	b.done(abandoned.Write, event.WriteConflict, zoneObject(5, 0, true, "ola"))
	got, _ = b.cache.Get(zones.Key("z0"))
	is.Equal(got.Version, uint64(8))
}

// Guards against two writes of one object at once, and against a conflict that does not say
// what changed.
func TestConflicts(t *testing.T) {
	is := is.New(t)
	b := newBench(zoneObject(5, 0, true, "ola"))
	b.setZone(false)
	b.setZone(true)
	is.Equal(b.sent, 1)
	is.Equal(b.code(), effect.CommandConflict)
	is.Equal(b.reply.Message, "another write of zones/z0 is under way")

	b.done(b.write.Write, event.WriteConflict, zoneObject(7, 5, false, "per"))
	is.Equal(b.code(), effect.CommandConflict)
	is.Equal(b.reply.Message, "zones/z0 is at version 7, not 5; written by per at 2026-05-13T06:00:00Z; changed since: Out, Reason, By")
	is.Equal(b.reply.Object.Version, uint64(7))

	b.setZone(true)
	b.done(b.write.Write, event.WriteConflict, stored(b.write, 8)) // the client sent it twice
	is.Equal(b.code(), effect.CommandOK)

	t0 := model.Object{
		Key:     model.ObjectKey{Kind: model.ObjectTemplate, Name: "haugland"},
		Version: 9,
		Template: &model.Template{
			Customer: "haugland",
			Routes:   []model.RouteConfig{{ID: "a"}, {ID: "b", CoverageFloor: 0.5}},
		},
	}
	b.read(t0)
	t1 := model.Object{Key: t0.Key, Template: &model.Template{
		Customer:     "haugland",
		AllowedZones: []model.AvailabilityZone{"z0"},
		Routes:       []model.RouteConfig{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}}
	sent := b.sent
	b.do(func(out *effect.List) { b.cache.Write(2, t1, 4, b.now, out) })
	is.Equal(b.sent, sent) // known to lose, so the store is not asked
	is.Equal(b.reply.Message, "templates/haugland is at version 9, not 4; differs from this command in: AllowedZones, route b, route c")
}

// Guards against an override that another daemon's newer object has made void, and against
// its loss going unreported.
func TestOverrideAgainstNewerObject(t *testing.T) {
	tests := []struct {
		name   string
		stored func(o event.Override) model.Object
		logs   int
	}{
		{"same content", func(o event.Override) model.Object {
			return model.Object{Key: o.Key, Version: 8, Base: 5, Zone: o.Zone}
		}, 0},
		{"other content", func(event.Override) model.Object { return zoneObject(8, 5, false, "per") }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(zoneObject(5, 0, false, "ola"))
			b.setZone(true)
			b.done(b.write.Write, event.WriteFailed, model.Object{})
			is.Equal(b.code(), effect.CommandOverride)
			is.True(zones.Out(b.cache)["z0"])
			list := b.cache.Overrides()
			b.read(tt.stored(list[0]))
			is.Equal(len(b.cache.Overrides()), 0)
			is.Equal(b.logs, tt.logs)
			b.heartbeat(event.Heartbeat{From: "vm1", Overrides: list})
			is.Equal(len(b.cache.Overrides()), 0)
		})
	}
}

// Guards against daemons that choose different overrides by the order of arrival, and
// against a peer that lifts a restriction by an override.
func TestOverrideOrder(t *testing.T) {
	is := is.New(t)
	o := func(vm model.VM, base, clock uint64, reason string) event.Override {
		return event.Override{
			Key: zones.Key("z0"), Base: base, Clock: clock, VM: vm,
			Zone: &model.ZoneState{Zone: "z0", Out: true, Reason: reason},
		}
	}
	ascending := []event.Override{
		o("vm1", 5, 1, "a"), o("vm3", 5, 2, "a"), o("vm2", 5, 2, "a"), o("vm2", 5, 2, "b"), o("vm9", 6, 1, "a"),
	}
	for i, low := range ascending {
		for _, high := range ascending[i+1:] {
			for _, order := range [][]event.Override{{low, high}, {high, low}} {
				b := newBench()
				b.heartbeat(event.Heartbeat{From: "vm1", Overrides: order})
				is.Equal(b.cache.Overrides(), []event.Override{high})
			}
		}
	}
	b := newBench()
	lift := o("vm1", 5, 1, "a")
	lift.Zone = &model.ZoneState{Zone: "z0"}
	b.heartbeat(event.Heartbeat{From: "vm1", Overrides: []event.Override{lift}})
	is.Equal(len(b.cache.Overrides()), 0)
}

// Guards against pull storms, against a peer that never answers, and against objects missed
// because an own write is ahead of the complete list.
func TestPullFromPeers(t *testing.T) {
	is := is.New(t)
	b := newBench(zoneObject(5, 0, false, "ola"))
	own := template(1)
	own.Version = 10
	b.done(99, event.WriteOK, own) // an own write, ahead of the objects between 5 and 10
	is.Equal(b.cache.Revision(), uint64(10))
	_, complete := b.cache.Newer(0)
	is.Equal(complete, uint64(5))
	for _, vm := range []model.VM{"vm1", "vm2", "vm3"} {
		b.heartbeat(event.Heartbeat{From: vm, Address: string(vm), Revision: 9, Digest: 1})
	}
	is.Equal(len(b.pulls), 1) // one pull at a time, though the peers' revision is below ours
	is.Equal(b.pulls[0].Since, uint64(5))
	b.do(func(out *effect.List) { b.cache.PullFailed(event.PullFailed{Peer: b.pulls[0].Peer}, b.now, out) })
	is.Equal(len(b.pulls), 2)
	b.wait(400 * time.Millisecond) // no answer
	is.Equal(len(b.pulls), 3)
	is.True(b.pulls[0].Peer != b.pulls[1].Peer && b.pulls[1].Peer != b.pulls[2].Peer)
	missed := zoneObject(9, 5, true, "ola")
	b.do(func(out *effect.List) {
		ev := event.ObjectsReceived{Peer: b.pulls[2].Peer, Revision: 9, Objects: []model.Object{missed}}
		is.True(b.cache.Received(ev, b.now, out))
	})
	is.True(zones.Out(b.cache)["z0"])
	b.wait(time.Second)
	is.Equal(len(b.pulls), 3) // nothing is missing any more
}

// Guards against a store that stays up for ever because peers repeat each other's evidence.
func TestStoreUp(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.wait(4 * time.Second)
	is.True(!b.cache.StoreUp(b.now)) // the last success is too long ago
	b.heartbeat(event.Heartbeat{From: "vm1", StoreUp: true})
	is.True(b.cache.StoreUp(b.now))
	var hb event.Heartbeat
	b.cache.Fill(&hb)
	is.True(!hb.StoreUp)
	b.wait(4 * time.Second)
	is.True(!b.cache.StoreUp(b.now))
}

// Guards against a deleted object that comes back, and against malformed ones.
func TestMerge(t *testing.T) {
	is := is.New(t)
	b := newBench(zoneObject(5, 0, true, "ola"))
	before := b.cache.Digest()
	b.read(model.Object{Key: zones.Key("z0"), Version: 7, Deleted: true})
	_, ok := b.cache.Get(zones.Key("z0"))
	is.True(!ok)
	is.Equal(len(b.cache.All(model.ObjectZone)), 0)
	is.True(b.cache.Digest() != before)
	b.read(zoneObject(5, 0, true, "ola"))
	b.read(model.Object{Key: zones.Key("z0"), Version: 8}) // no content
	is.Equal(len(b.cache.All(model.ObjectZone)), 0)
	objects, revision := b.cache.Newer(0)
	is.Equal(len(objects), 1) // the tombstone spreads
	is.Equal(revision, uint64(5))
	b.setZone(true)
	is.Equal(b.write.IfVersion, uint64(0)) // a deleted object does not exist
	is.Equal(b.write.Object.Base, uint64(7))
}

// Guards against a digest that depends on the order of arrival or misses an object.
func TestDigest(t *testing.T) {
	is := is.New(t)
	a, b := newBench(), newBench()
	for i := range 100 {
		o, p := template(i), template(99-i)
		o.Version, p.Version = uint64(i+1), uint64(100-i)
		before := a.cache.Digest()
		a.read(o)
		b.read(p)
		is.True(a.cache.Digest() != before)
	}
	is.Equal(a.cache.Digest(), b.cache.Digest())
}

func filledBench(n int) *bench {
	b := newBench()
	for i := range n {
		o := template(i)
		o.Version = uint64(i + 1)
		b.read(o)
	}
	return b
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("templates=%d", n), func(b *testing.B) {
			c := filledBench(n).cache
			version := uint64(n)
			ev := event.ObjectsReceived{FromStore: true, Objects: []model.Object{template(n / 2)}}
			var out effect.List
			b.ReportAllocs()
			for b.Loop() {
				version++
				ev.Objects[0].Version = version
				ev.Revision = version
				c.Received(ev, 0, &out)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("templates=%d", n), func(b *testing.B) {
			c := filledBench(n).cache
			b.ReportAllocs()
			for b.Loop() {
				c.Digest()
			}
		})
	}
}
