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

// writeBackRetry is the pause after a refused attempt to keep an override in the store.
const writeBackRetry = 500 * time.Millisecond

// override is a restriction in force that the store has not kept yet. It holds as long as
// no version of its object above Base is known; such a version makes it void for good.
type override struct {
	event.Override
	since   model.Time // when this VM learned of it
	number  uint64     // of the write that is under way, 0 for none
	retryAt model.Time // no write before this time
}

// object returns the override as an object of the version that it replaces.
func (o *override) object() model.Object {
	return model.Object{
		Key:        o.Key,
		Version:    o.Base,
		Zone:       o.Zone,
		Automation: o.Pause,
	}
}

func (o *override) hash() uint64 { return hashKey(o.Key, o.Base, o.Clock, o.VM) }

// compareOverrides orders overrides of one object; the greater one wins. A higher base
// proves that the lower one is void. The content decides last, because a VM that restarts
// forgets its clock and can use the same one twice.
func compareOverrides(a, b *event.Override) int {
	return cmp.Or(
		cmp.Compare(a.Base, b.Base),
		cmp.Compare(a.Clock, b.Clock),
		cmp.Compare(b.VM, a.VM),
		compareContent(a, b),
	)
}

// compareContent orders the contents of two valid overrides of one object by time first.
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

// Overrides returns the restrictions in force that the store has not kept yet.
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

// overrideOf returns the override of the object, or nil.
func (c *Cache) overrideOf(key model.ObjectKey) *override {
	i, ok := c.findOverride(key)
	if !ok {
		return nil
	}
	return c.overrides[i]
}

func (c *Cache) overrideNumbered(number uint64) *override {
	for _, o := range c.overrides {
		if o.number == number {
			return o
		}
	}
	return nil
}

func (c *Cache) mergeOverrides(list []event.Override, now model.Time, out *effect.List) bool {
	changed := false
	for _, o := range list {
		c.clock = max(c.clock, o.Clock)
		if c.adopt(o, now, out) {
			changed = true
		}
	}
	return changed
}

// adopt puts an override in force unless a newer object or override of the same key is
// known. It reports whether the configuration changed.
func (c *Cache) adopt(o event.Override, now model.Time, out *effect.List) bool {
	if !validOverride(&o) || c.objects.version(o.Key) > o.Base {
		return false
	}
	adopted := &override{Override: o, since: now}
	i, ok := c.findOverride(o.Key)
	if !ok {
		c.overrides = slices.Insert(c.overrides, i, adopted)
		return true
	}
	present := c.overrides[i]
	if compareOverrides(&o, &present.Override) <= 0 {
		return false
	}
	c.overrides[i] = adopted
	logDropped(present, fmt.Sprintf("a later override by %s", o.VM), out)
	return true
}

// validOverride reports whether o only restricts; a faulty peer must not undo anything.
func validOverride(o *event.Override) bool {
	switch o.Key.Kind {
	case model.ObjectZone:
		return o.Zone != nil && o.Zone.Out
	case model.ObjectAutomation:
		return o.Pause != nil && o.Pause.Paused
	}
	return false
}

// dropVoid ends the override that stored makes void. It is logged unless the store now
// keeps its content.
func (c *Cache) dropVoid(stored *model.Object, out *effect.List) {
	i, ok := c.findOverride(stored.Key)
	if !ok || stored.Version <= c.overrides[i].Base {
		return
	}
	dropped := c.overrides[i]
	c.overrides = slices.Delete(c.overrides, i, i+1)
	mine := dropped.object()
	if len(differences(&mine, stored)) > 0 {
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

// writeBack keeps overrides in the store once it is up. The condition on the base version
// makes two writers harmless.
func (c *Cache) writeBack(live []model.VM, now model.Time, out *effect.List) {
	if !c.up {
		return
	}
	for _, o := range c.overrides {
		turn := max(c.upSince, o.since).Add(c.writeBackDelay(o.VM, live))
		if now < turn || now < o.retryAt || c.Pending(o.Key) {
			continue
		}
		o.retryAt = now.Add(c.cfg.WriteTimeout)
		obj := o.object()
		obj.Version = 0
		obj.Base = o.Base
		obj.Write = c.nextWriteID()
		o.number = c.nextNumber()
		out.Add(effect.WriteObject{Write: o.number, Object: obj, IfVersion: c.writeBackCondition(o)})
	}
}

// writeBackDelay staggers the VMs, the creator first, so that one write does in the usual
// case and the load on the store does not grow with the group.
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

// writeBackCondition returns the version that the object must have. A deleted object does
// not exist for the store, whatever the version of its tombstone.
func (c *Cache) writeBackCondition(o *override) uint64 {
	cached := c.objects.get(o.Key)
	if cached != nil && cached.Deleted && cached.Version == o.Base {
		return 0
	}
	return o.Base
}
