package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// writeBackRetry is the delay before the next attempt to write an override to the store.
const writeBackRetry = 500 * time.Millisecond

// override is a restriction that is in force but not yet written to the store. It is
// superseded for good as soon as a version of its object above Base is known.
type override struct {
	event.Override
	learnedAt   model.Time // when this VM received or created it
	writeNumber uint64     // number of the write in progress, 0 for none
	nextWriteAt model.Time // earliest time of the next write
}

// object returns the override as an object with the version that it replaces.
func (o *override) object() model.Object {
	return model.Object{
		Key:        o.Key,
		Version:    o.Base,
		Zone:       o.Zone,
		Automation: o.Pause,
	}
}

func (o *override) hash() uint64 { return hashKey(o.Key, o.Base, o.Clock, o.VM) }

// compareOverrides orders overrides of one object; the greater one wins. A higher Base comes
// first, since it proves that the override with the lower one is superseded. The content is
// the last criterion: a VM loses its clock on a restart and can then use a value twice.
func compareOverrides(a, b *event.Override) int {
	return cmp.Or(
		cmp.Compare(a.Base, b.Base),
		cmp.Compare(a.Clock, b.Clock),
		cmp.Compare(b.VM, a.VM),
		compareContent(a, b),
	)
}

// compareContent orders the contents of two valid overrides of one object, by time and then
// by the other fields.
func compareContent(a, b *event.Override) int {
	if a.Zone != nil {
		return cmp.Or(
			a.Zone.At.Compare(b.Zone.At),
			cmp.Compare(a.Zone.By, b.Zone.By),
			cmp.Compare(a.Zone.Reason, b.Zone.Reason),
		)
	}
	return cmp.Or(
		a.Pause.At.Compare(b.Pause.At),
		a.Pause.Until.Compare(b.Pause.Until),
		cmp.Compare(a.Pause.By, b.Pause.By),
		cmp.Compare(a.Pause.Reason, b.Pause.Reason),
	)
}

// Overrides returns the restrictions in force that are not yet written to the store, sorted
// by key.
func (c *Cache) Overrides() []event.Override {
	if len(c.overrides) == 0 {
		return nil
	}
	list := make([]event.Override, len(c.overrides))
	for i, o := range c.overrides {
		list[i] = o.Override
	}
	return list
}

func (c *Cache) findOverride(key model.ObjectKey) (int, bool) {
	return slices.BinarySearchFunc(c.overrides, key, func(o *override, key model.ObjectKey) int {
		return cmp.Or(cmp.Compare(o.Key.Kind, key.Kind), cmp.Compare(o.Key.Name, key.Name))
	})
}

// overrideFor returns the override of the object, or nil.
func (c *Cache) overrideFor(key model.ObjectKey) *override {
	i, ok := c.findOverride(key)
	if !ok {
		return nil
	}
	return c.overrides[i]
}

func (c *Cache) overrideByWrite(number uint64) *override {
	for _, o := range c.overrides {
		if o.writeNumber == number {
			return o
		}
	}
	return nil
}

func (c *Cache) mergeOverrides(list []event.Override, now model.Time, out *effect.List) bool {
	changed := false
	for _, o := range list {
		c.clock = max(c.clock, o.Clock)
		if c.applyOverride(o, now, out) {
			changed = true
		}
	}
	return changed
}

// applyOverride puts a valid override in force unless a newer object or override of the same
// key is known. It reports whether the configuration changed.
func (c *Cache) applyOverride(o event.Override, now model.Time, out *effect.List) bool {
	if !validOverride(&o) || c.objects.version(o.Key) > o.Base {
		return false
	}
	applied := &override{Override: o, learnedAt: now}
	i, ok := c.findOverride(o.Key)
	if !ok {
		c.overrides = slices.Insert(c.overrides, i, applied)
		return true
	}
	present := c.overrides[i]
	if compareOverrides(&o, &present.Override) <= 0 {
		return false
	}
	c.overrides[i] = applied
	logDropped(present, fmt.Sprintf("a later override by %s", o.VM), out)
	return true
}

// validOverride reports whether o is a restriction (a zone out or a pause). Other overrides
// are rejected, so that a faulty peer cannot lift a restriction.
func validOverride(o *event.Override) bool {
	switch o.Key.Kind {
	case model.ObjectZone:
		return o.Zone != nil && o.Zone.Out
	case model.ObjectAutomation:
		return o.Pause != nil && o.Pause.Paused
	}
	return false
}

// dropSuperseded removes the override that stored supersedes, if any, and logs its loss
// unless stored has the same content.
func (c *Cache) dropSuperseded(stored *model.Object, out *effect.List) {
	i, ok := c.findOverride(stored.Key)
	if !ok || stored.Version <= c.overrides[i].Base {
		return
	}
	dropped := c.overrides[i]
	c.overrides = slices.Delete(c.overrides, i, i+1)
	lost := dropped.object()
	if len(differences(&lost, stored)) > 0 {
		logDropped(dropped, fmt.Sprintf("version %d in the store", stored.Version), out)
	}
}

func logDropped(o *override, winner string, out *effect.List) {
	out.Add(effect.Log{
		Level:   effect.Warn,
		Message: "override dropped because a newer state won",
		Step:    "merge override",
		Peer:    string(o.VM),
		Fields: []effect.Field{
			{Key: "object", Value: o.Key.String()},
			{Key: "base", Value: strconv.FormatUint(o.Base, 10)},
			{Key: "clock", Value: strconv.FormatUint(o.Clock, 10)},
			{Key: "winner", Value: winner},
		},
	})
}

// writeBack writes overrides to the store once it is up. Two VMs may write the same override:
// the writes are conditional on the base version, so only one takes effect.
func (c *Cache) writeBack(live []model.VM, now model.Time, out *effect.List) {
	if !c.storeUp {
		return
	}
	for _, o := range c.overrides {
		turn := max(c.storeUpSince, o.learnedAt).Add(c.writeBackDelay(o.VM, live))
		if now < turn || now < o.nextWriteAt || c.Pending(o.Key) {
			continue
		}
		o.nextWriteAt = now.Add(c.cfg.WriteTimeout)
		obj := o.object()
		obj.Version = 0
		obj.Base = o.Base
		obj.Write = c.nextWriteID()
		o.writeNumber = c.nextNumber()
		out.Add(effect.WriteObject{Write: o.writeNumber, Object: obj, IfVersion: c.writeBackCondition(o)})
	}
}

// writeBackDelay staggers the VMs, the creator of the override first. One VM usually writes
// it before the others' delays have passed, so the load on the store does not grow with the
// size of the group.
func (c *Cache) writeBackDelay(creator model.VM, live []model.VM) time.Duration {
	if creator == c.cfg.Self {
		return 0
	}
	rank := rankIn(live, c.cfg.Self)
	if slices.Contains(live, creator) {
		rank++
	}
	return time.Duration(rank) * c.cfg.WriteTimeout
}

// writeBackCondition returns the version that the object must have in the store. It is 0 for
// a deleted object, since the store has no object there, whatever the tombstone's version.
func (c *Cache) writeBackCondition(o *override) uint64 {
	cached := c.objects.get(o.Key)
	if cached != nil && cached.Deleted && cached.Version == o.Base {
		return 0
	}
	return o.Base
}
