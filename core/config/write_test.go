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

// harness drives a single cache and records its effects.
type harness struct {
	cache      *config.Cache
	now        model.Time
	lastWrite  effect.WriteObject // the last write sent
	reads      int
	writesSent int
	pulls      []effect.PullObjects
	logs       int
	lastReply  *effect.CommandResult
}

func newHarness(objects ...model.Object) *harness {
	h := &harness{cache: config.New(config.Config{Self: "vm5", Boot: 1, WriteTimeout: writeTimeout})}
	h.step(func(out *effect.List) {
		h.cache.Received(event.ObjectsReceived{FromStore: true, Revision: 5, Objects: objects}, h.now, out)
	})
	return h
}

func (h *harness) step(f func(out *effect.List)) {
	var out effect.List
	f(&out)
	for _, e := range out.Take() {
		switch e := e.(type) {
		case effect.WriteObject:
			h.lastWrite = e
			h.writesSent++
		case effect.ReadObject:
			h.reads++
		case effect.PullObjects:
			h.pulls = append(h.pulls, e)
		case effect.Log:
			h.logs++
		case effect.ReplyOperator:
			h.lastReply = &e.Result
		}
	}
}

// lastCode returns the code of the last reply to the operator, or "" if there is none.
func (h *harness) lastCode() effect.CommandCode {
	if h.lastReply == nil {
		return ""
	}
	return h.lastReply.Code
}

func (h *harness) writeDone(number uint64, outcome event.WriteOutcome, o model.Object) {
	h.step(func(out *effect.List) {
		h.cache.WriteDone(event.WriteDone{Write: number, Outcome: outcome, Object: o}, h.now, out)
	})
}

func (h *harness) receiveObject(o model.Object) {
	h.step(func(out *effect.List) {
		h.cache.Received(event.ObjectsReceived{FromStore: true, Objects: []model.Object{o}}, h.now, out)
	})
}

func (h *harness) runTicks(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(tickInterval)
		h.step(func(out *effect.List) { h.cache.Tick([]model.VM{"vm1", "vm2", "vm5"}, h.now, out) })
	}
}

func (h *harness) heartbeat(hb event.Heartbeat) {
	h.step(func(out *effect.List) { h.cache.Heartbeat(&hb, h.now, out) })
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

func (h *harness) setZone(out bool) {
	h.step(func(l *effect.List) {
		cmd := event.SetZone{Zone: "z0", Out: out, Reason: "mine"}
		zones.Command(h.cache, 1, "kari", cmd, wallStart, h.now, l)
	})
}

func stored(e effect.WriteObject, version uint64) model.Object {
	o := e.Object
	o.Version = version
	return o
}

// Guards against a wrong reply to the operator after the store's reply was lost.
func TestRepliesAfterLostReply(t *testing.T) {
	const none = effect.CommandCode("")
	lose := func(h *harness) { h.writeDone(h.lastWrite.Write, event.WriteUnknown, model.Object{}) }
	tests := []struct {
		name string
		out  bool
		then func(h *harness)
		want effect.CommandCode
	}{
		{"written", false, func(h *harness) { h.receiveObject(stored(h.lastWrite, 8)) }, effect.CommandOK},
		{"another write replaced the base", false, func(h *harness) { h.receiveObject(zoneObject(8, 5, true, "ola")) }, effect.CommandConflict},
		{"two later versions", false, func(h *harness) { h.receiveObject(zoneObject(9, 8, true, "ola")) }, effect.CommandUnknown},
		{"foreign object", false, func(h *harness) {
			o := zoneObject(9, 0, true, "ola")
			o.Write = model.WriteID{}
			h.receiveObject(o)
		}, effect.CommandUnknown},
		{"old version, retry written", false, func(h *harness) {
			h.receiveObject(zoneObject(5, 0, true, "ola"))
			h.writeDone(h.lastWrite.Write, event.WriteOK, stored(h.lastWrite, 8))
		}, effect.CommandOK},
		{"old version, the first attempt takes effect before the retry", false, func(h *harness) {
			h.receiveObject(zoneObject(5, 0, true, "ola"))
			h.writeDone(h.lastWrite.Write, event.WriteConflict, stored(h.lastWrite, 8))
		}, effect.CommandOK},
		{"old version, the store fails at the retry", false, func(h *harness) {
			h.receiveObject(zoneObject(5, 0, true, "ola"))
			h.writeDone(h.lastWrite.Write, event.WriteFailed, model.Object{})
		}, none}, // the first attempt may still take effect
		{"read-back without reply", false, func(h *harness) { h.runTicks(writeTimeout) }, effect.CommandUnknown},
		{"zone out, read-back without reply", true, func(h *harness) { h.runTicks(writeTimeout) }, effect.CommandOverride},
		{"zone out, the store fails at the retry", true, func(h *harness) {
			h.receiveObject(zoneObject(5, 0, true, "ola"))
			h.writeDone(h.lastWrite.Write, event.WriteFailed, model.Object{})
		}, effect.CommandOverride},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(zoneObject(5, 0, true, "ola"))
			h.setZone(tt.out)
			lose(h)
			is.Equal(h.reads, 1)
			is.Equal(h.lastCode(), none)
			tt.then(h)
			is.Equal(h.lastCode(), tt.want)
		})
	}
}

// Guards against a late reply to an abandoned write that is taken for the reply to a later
// write of the same object.
func TestLateReplyToAbandonedWrite(t *testing.T) {
	is := is.New(t)
	h := newHarness(zoneObject(5, 0, true, "ola"))
	h.setZone(false)
	abandoned := h.lastWrite
	h.runTicks(2*writeTimeout + time.Second) // neither the write nor the read-back is answered
	is.Equal(h.lastCode(), effect.CommandUnknown)
	is.True(!h.cache.Pending(zones.Key("z0")))

	h.lastReply = nil
	h.setZone(true)
	h.writeDone(abandoned.Write, event.WriteFailed, model.Object{})
	is.Equal(h.lastCode(), effect.CommandCode(""))
	h.writeDone(abandoned.Write, event.WriteOK, stored(abandoned, 8))
	is.Equal(h.lastCode(), effect.CommandConflict) // version 8 replaced the base of the second write
	got, _ := h.cache.Get(zones.Key("z0"))
	is.Equal(got.Version, uint64(8))
	h.writeDone(abandoned.Write, event.WriteConflict, zoneObject(5, 0, true, "ola"))
	got, _ = h.cache.Get(zones.Key("z0"))
	is.Equal(got.Version, uint64(8))
}

// Guards against two concurrent writes of one object, and against a conflict message that
// does not say what changed.
func TestConflicts(t *testing.T) {
	is := is.New(t)
	h := newHarness(zoneObject(5, 0, true, "ola"))
	h.setZone(false)
	h.setZone(true)
	is.Equal(h.writesSent, 1)
	is.Equal(h.lastCode(), effect.CommandConflict)
	is.Equal(h.lastReply.Message, "another write of zones/z0 is under way")

	h.writeDone(h.lastWrite.Write, event.WriteConflict, zoneObject(7, 5, false, "per"))
	is.Equal(h.lastCode(), effect.CommandConflict)
	is.Equal(h.lastReply.Message, "zones/z0 is at version 7, not 5; written by per at 2026-05-13T06:00:00Z; changed since: Out, Reason, By")
	is.Equal(h.lastReply.Object.Version, uint64(7))

	h.setZone(true)
	h.writeDone(h.lastWrite.Write, event.WriteConflict, stored(h.lastWrite, 8)) // the store client sent the write twice
	is.Equal(h.lastCode(), effect.CommandOK)

	t0 := model.Object{
		Key:     model.ObjectKey{Kind: model.ObjectTemplate, Name: "haugland"},
		Version: 9,
		Template: &model.Template{
			Customer: "haugland",
			Routes:   []model.RouteConfig{{ID: "a"}, {ID: "b", CoverageFloor: 0.5}},
		},
	}
	h.receiveObject(t0)
	t1 := model.Object{Key: t0.Key, Template: &model.Template{
		Customer:     "haugland",
		AllowedZones: []model.AvailabilityZone{"z0"},
		Routes:       []model.RouteConfig{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}}
	sent := h.writesSent
	h.step(func(out *effect.List) { h.cache.Write(2, t1, 4, h.now, out) })
	is.Equal(h.writesSent, sent) // a newer version is cached, so no write is sent
	is.Equal(h.lastReply.Message, "templates/haugland is at version 9, not 4; differs from this command in: AllowedZones, route b, route c")
}

// Guards against an override that stays in force after a newer object has superseded it, and
// against dropping it without a log line if its content is lost.
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
			h := newHarness(zoneObject(5, 0, false, "ola"))
			h.setZone(true)
			h.writeDone(h.lastWrite.Write, event.WriteFailed, model.Object{})
			is.Equal(h.lastCode(), effect.CommandOverride)
			is.True(zones.Out(h.cache)["z0"])
			list := h.cache.Overrides()
			h.receiveObject(tt.stored(list[0]))
			is.Equal(len(h.cache.Overrides()), 0)
			is.Equal(h.logs, tt.logs)
			h.heartbeat(event.Heartbeat{From: "vm1", Overrides: list})
			is.Equal(len(h.cache.Overrides()), 0)
		})
	}
}

// Guards against daemons that choose different overrides depending on the order of arrival,
// and against a peer that lifts a restriction by an override.
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
				h := newHarness()
				h.heartbeat(event.Heartbeat{From: "vm1", Overrides: order})
				is.Equal(h.cache.Overrides(), []event.Override{high})
			}
		}
	}
	h := newHarness()
	lift := o("vm1", 5, 1, "a")
	lift.Zone = &model.ZoneState{Zone: "z0"}
	h.heartbeat(event.Heartbeat{From: "vm1", Overrides: []event.Override{lift}})
	is.Equal(len(h.cache.Overrides()), 0)
}

// Guards against concurrent pulls, against waiting forever for a peer that does not answer,
// and against missing objects whose versions are below that of this VM's own write.
func TestPullFromPeers(t *testing.T) {
	is := is.New(t)
	h := newHarness(zoneObject(5, 0, false, "ola"))
	own := template(1)
	own.Version = 10
	h.writeDone(99, event.WriteOK, own) // this VM's own write; versions 6 to 9 are unknown
	is.Equal(h.cache.Revision(), uint64(10))
	_, complete := h.cache.ObjectsSince(0)
	is.Equal(complete, uint64(5))
	for _, vm := range []model.VM{"vm1", "vm2", "vm3"} {
		h.heartbeat(event.Heartbeat{From: vm, Address: string(vm), Revision: 9, Digest: 1})
	}
	is.Equal(len(h.pulls), 1) // one pull at a time, even though this VM has a higher revision
	is.Equal(h.pulls[0].Since, uint64(5))
	h.step(func(out *effect.List) { h.cache.PullFailed(event.PullFailed{Peer: h.pulls[0].Peer}, h.now, out) })
	is.Equal(len(h.pulls), 2)
	h.runTicks(400 * time.Millisecond) // the pull times out
	is.Equal(len(h.pulls), 3)
	is.True(h.pulls[0].Peer != h.pulls[1].Peer && h.pulls[1].Peer != h.pulls[2].Peer)
	missed := zoneObject(9, 5, true, "ola")
	h.step(func(out *effect.List) {
		ev := event.ObjectsReceived{Peer: h.pulls[2].Peer, Revision: 9, Objects: []model.Object{missed}}
		is.True(h.cache.Received(ev, h.now, out))
	})
	is.True(zones.Out(h.cache)["z0"])
	h.runTicks(time.Second)
	is.Equal(len(h.pulls), 3) // no object is missing
}

// Guards against peers that report a lost store as up forever by repeating each other's
// evidence.
func TestStoreUp(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.runTicks(4 * time.Second)
	is.True(!h.cache.StoreUp(h.now)) // the last success is older than the TTL
	h.heartbeat(event.Heartbeat{From: "vm1", StoreUp: true})
	is.True(h.cache.StoreUp(h.now))
	var hb event.Heartbeat
	h.cache.Fill(&hb)
	is.True(!hb.StoreUp)
	h.runTicks(4 * time.Second)
	is.True(!h.cache.StoreUp(h.now))
}

// Guards against an older version that restores a deleted object, and against objects without
// content.
func TestMerge(t *testing.T) {
	is := is.New(t)
	h := newHarness(zoneObject(5, 0, true, "ola"))
	before := h.cache.Digest()
	h.receiveObject(model.Object{Key: zones.Key("z0"), Version: 7, Deleted: true})
	_, ok := h.cache.Get(zones.Key("z0"))
	is.True(!ok)
	is.Equal(len(h.cache.All(model.ObjectZone)), 0)
	is.True(h.cache.Digest() != before)
	h.receiveObject(zoneObject(5, 0, true, "ola"))
	h.receiveObject(model.Object{Key: zones.Key("z0"), Version: 8}) // no content
	is.Equal(len(h.cache.All(model.ObjectZone)), 0)
	objects, revision := h.cache.ObjectsSince(0)
	is.Equal(len(objects), 1) // the tombstone is passed on to peers
	is.Equal(revision, uint64(5))
	h.setZone(true)
	is.Equal(h.lastWrite.IfVersion, uint64(0)) // a deleted object does not exist in the store
	is.Equal(h.lastWrite.Object.Base, uint64(7))
}

// Guards against a digest that depends on the order of arrival or omits an object.
func TestDigest(t *testing.T) {
	is := is.New(t)
	a, b := newHarness(), newHarness()
	for i := range 100 {
		o, p := template(i), template(99-i)
		o.Version, p.Version = uint64(i+1), uint64(100-i)
		before := a.cache.Digest()
		a.receiveObject(o)
		b.receiveObject(p)
		is.True(a.cache.Digest() != before)
	}
	is.Equal(a.cache.Digest(), b.cache.Digest())
}

func filledHarness(n int) *harness {
	h := newHarness()
	for i := range n {
		o := template(i)
		o.Version = uint64(i + 1)
		h.receiveObject(o)
	}
	return h
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("templates=%d", n), func(b *testing.B) {
			c := filledHarness(n).cache
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
			c := filledHarness(n).cache
			b.ReportAllocs()
			for b.Loop() {
				c.Digest()
			}
		})
	}
}
