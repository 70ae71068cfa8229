package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// readInterval is the pause between read-backs of a write whose answer was lost.
const readInterval = 250 * time.Millisecond

// overrideAnswer is what the operator reads when a restriction acts without the store.
const overrideAnswer = "the store cannot be reached; the command is in force on every daemon that can be reached " +
	"and is kept in the store when it returns, unless somebody else has changed the object"

// write is a conditional write that is under way. Once an attempt may have taken effect,
// it is read back and, if the store still has the old version, sent again: only an answer
// to a later attempt proves that an earlier one cannot take effect any more.
type write struct {
	command     uint64
	object      model.Object
	ifVersion   uint64
	restriction bool
	before      *model.Object // what the write replaces, nil if not cached
	number      uint64        // of the attempt that is waited for, 0 while reading back
	deadline    model.Time
	uncertain   bool // an attempt may have taken effect, or may yet do so
	reading     bool
	nextRead    model.Time
}

// Write starts a conditional write. command is the operator's command to answer when it is
// done, or 0.
func (c *Cache) Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	c.start(&write{command: command, object: obj, ifVersion: ifVersion}, now, out)
}

// WriteRestriction is Write for a zone-out or a pause: it takes effect as an override at
// once if the store cannot be reached.
func (c *Cache) WriteRestriction(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	restricts := validOverride(&event.Override{Key: obj.Key, Zone: obj.Zone, Pause: obj.Automation})
	c.start(&write{command: command, object: obj, ifVersion: ifVersion, restriction: restricts}, now, out)
}

// Pending reports whether a write of the object is under way.
func (c *Cache) Pending(key model.ObjectKey) bool { return c.writeOf(key) != nil }

func (c *Cache) writeOf(key model.ObjectKey) *write {
	for _, w := range c.writes {
		if w.object.Key == key {
			return w
		}
	}
	return nil
}

func (c *Cache) writeNumbered(number uint64) *write {
	for _, w := range c.writes {
		if w.number == number {
			return w
		}
	}
	return nil
}

func (c *Cache) start(w *write, now model.Time, out *effect.List) {
	key := w.object.Key
	if c.Pending(key) {
		reply(w, effect.CommandConflict, fmt.Sprintf("another write of %s is under way", key), nil, out)
		return
	}
	w.object.Base = w.ifVersion
	if cached := c.objects.get(key); cached != nil {
		if cached.Deleted && w.ifVersion == 0 {
			w.object.Base = cached.Version
		}
		if cached.Version > w.object.Base {
			c.replyConflict(w, out)
			return
		}
		if cached.Version == w.object.Base {
			w.before = cached
		}
	}
	w.object.Write = c.nextWriteID()
	w.deadline = now.Add(c.cfg.WriteTimeout)
	c.writes = append(c.writes, w)
	c.attempt(w, out)
}

func (c *Cache) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

func (c *Cache) nextWriteID() model.WriteID {
	return model.WriteID{VM: c.cfg.Self, Boot: c.cfg.Boot, Number: c.nextNumber()}
}

func (c *Cache) attempt(w *write, out *effect.List) {
	w.reading = false
	w.number = c.nextNumber()
	out.Add(effect.WriteObject{Write: w.number, Object: w.object, IfVersion: w.ifVersion})
}

// WriteDone ends or continues a write: lost answers are read back, refused overrides kept.
// It reports whether the configuration changed.
func (c *Cache) WriteDone(ev event.WriteDone, now model.Time, out *effect.List) bool {
	answered := ev.Outcome == event.WriteOK || ev.Outcome == event.WriteConflict
	changed := false
	if answered {
		c.storeReached(now)
		changed = c.merge(&ev.Object, out)
	}
	if w := c.writeNumbered(ev.Write); w != nil {
		if !answered {
			c.storeLost(now)
		}
		return c.attemptDone(w, ev, now, out) || changed
	}
	if o := c.overrideNumbered(ev.Write); o != nil {
		if !answered {
			c.storeLost(now)
		}
		o.number = 0
		o.retryAt = now.Add(writeBackRetry)
		return changed
	}
	// An abandoned attempt: its object is evidence like any other, its outcome is not.
	if w := c.writeOf(ev.Object.Key); answered && w != nil {
		c.observe(w, &ev.Object, false, now, out)
	}
	return changed
}

// attemptDone draws the conclusions from the answer to the current attempt. It reports
// whether the configuration changed.
func (c *Cache) attemptDone(w *write, ev event.WriteDone, now model.Time, out *effect.List) bool {
	switch ev.Outcome {
	case event.WriteOK:
		c.finish(w, effect.CommandOK, "", &ev.Object, out)
	case event.WriteConflict:
		c.refused(w, &ev.Object, now, out)
	case event.WriteFailed:
		return c.failed(w, now, out)
	case event.WriteUnknown:
		c.readBack(w, now, out)
	}
	return false
}

// refused handles an attempt that wrote nothing because the object has another version,
// which an earlier attempt may have written.
func (c *Cache) refused(w *write, current *model.Object, now model.Time, out *effect.List) {
	switch {
	case current.Write == w.object.Write:
		c.finish(w, effect.CommandOK, "", current, out)
	case !w.uncertain:
		c.finishConflict(w, out)
	case current.Version == 0:
		c.readBack(w, now, out)
	default:
		c.observe(w, current, false, now, out)
	}
}

// failed handles an attempt that wrote nothing because the store could not be reached.
func (c *Cache) failed(w *write, now model.Time, out *effect.List) bool {
	switch {
	case w.restriction:
		return c.becomeOverride(w, now, out)
	case w.uncertain:
		c.readBack(w, now, out)
	default:
		c.finish(w, effect.CommandUnavailable, "the store cannot be reached; nothing was changed", nil, out)
	}
	return false
}

// readBack asks the store which version it has, because an attempt may have taken effect.
func (c *Cache) readBack(w *write, now model.Time, out *effect.List) {
	if !w.uncertain && !w.restriction {
		w.deadline = now.Add(c.cfg.WriteTimeout)
	}
	w.uncertain = true
	w.reading = true
	w.number = 0
	w.nextRead = now.Add(readInterval)
	out.Add(effect.ReadObject{Key: w.object.Key})
}

// observe draws the conclusions for a write from a state that its object was seen in.
func (c *Cache) observe(w *write, o *model.Object, fromStore bool, now model.Time, out *effect.List) {
	base := w.object.Base
	absent := o.Deleted && w.ifVersion == 0
	switch {
	case o.Write == w.object.Write:
		c.finish(w, effect.CommandOK, "", o, out)
	case o.Version == base || absent && o.Version < base:
		if w.reading && fromStore {
			c.attempt(w, out)
		}
	case o.Version < base:
		// Older than what the write replaces: says nothing.
	case o.Write != model.WriteID{} && o.Base == base:
		c.finishConflict(w, out) // the one write that could replace base was this one
	case w.uncertain:
		text := fmt.Sprintf("the answer was lost and %s has since reached version %d; the write may have been one of the versions before it", o.Key, o.Version)
		c.finish(w, effect.CommandUnknown, text, c.objects.get(o.Key), out)
	}
}

// advanceWrites repeats read-backs and ends writes whose time is over. It reports whether
// the configuration changed.
func (c *Cache) advanceWrites(now model.Time, out *effect.List) bool {
	changed := false
	for _, w := range slices.Clone(c.writes) {
		switch {
		case now >= w.deadline:
			if c.expire(w, now, out) {
				changed = true
			}
		case w.reading && now >= w.nextRead:
			c.readBack(w, now, out)
		}
	}
	return changed
}

// expire ends a write whose time is over. A write without any answer is read back first,
// unless it can become an override.
func (c *Cache) expire(w *write, now model.Time, out *effect.List) bool {
	c.storeLost(now)
	switch {
	case w.restriction:
		w.uncertain = true
		return c.becomeOverride(w, now, out)
	case !w.uncertain:
		c.readBack(w, now, out)
	default:
		text := "the answer was lost and the store could not be read back; the write may have taken effect"
		c.finish(w, effect.CommandUnknown, text, nil, out)
	}
	return false
}

// becomeOverride puts a restriction in force without the store. It reports whether it did.
func (c *Cache) becomeOverride(w *write, now model.Time, out *effect.List) bool {
	c.clock++
	adopted := c.adopt(event.Override{
		Key:   w.object.Key,
		Base:  w.object.Base,
		Clock: c.clock,
		VM:    c.cfg.Self,
		Zone:  w.object.Zone,
		Pause: w.object.Automation,
	}, now, out)
	switch {
	case adopted:
		c.finish(w, effect.CommandOverride, overrideAnswer, nil, out)
	case w.uncertain:
		text := fmt.Sprintf("the answer was lost and %s has since changed; the write may have taken effect", w.object.Key)
		c.finish(w, effect.CommandUnknown, text, c.objects.get(w.object.Key), out)
	default:
		c.finishConflict(w, out)
	}
	return adopted
}

func (c *Cache) finishConflict(w *write, out *effect.List) {
	c.remove(w)
	c.replyConflict(w, out)
}

func (c *Cache) replyConflict(w *write, out *effect.List) {
	current := c.objects.get(w.object.Key)
	if current == nil || current.Version <= w.object.Base {
		reply(w, effect.CommandConflict, fmt.Sprintf("%s has another version", w.object.Key), nil, out)
		return
	}
	reply(w, effect.CommandConflict, describeConflict(w, current), current, out)
}

func (c *Cache) finish(w *write, code effect.CommandCode, text string, o *model.Object, out *effect.List) {
	c.remove(w)
	reply(w, code, text, o, out)
}

func (c *Cache) remove(w *write) {
	c.writes = slices.DeleteFunc(c.writes, func(other *write) bool { return other == w })
}

// reply answers the operator's command, if there is one.
func reply(w *write, code effect.CommandCode, text string, o *model.Object, out *effect.List) {
	if w.command == 0 {
		return
	}
	result := effect.CommandResult{Code: code, Message: text}
	if o != nil {
		current := *o
		result.Object = &current
	}
	out.Add(effect.ReplyOperator{Command: w.command, Result: result})
}
