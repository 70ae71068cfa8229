package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// readInterval is the interval between reads of an object after the reply to its write was
// lost.
const readInterval = 250 * time.Millisecond

// overrideReplyText answers an operator's command that was put in force as an override.
const overrideReplyText = "the store cannot be reached; the command is in force on every daemon that can be reached " +
	"and is kept in the store when it returns, unless somebody else has changed the object"

// write is a conditional write in progress. After an attempt that may have taken effect, the
// object is read back. If the store still has the old version, the write is sent again,
// because only the reply to a later attempt proves that an earlier one can no longer take
// effect.
type write struct {
	command            uint64
	object             model.Object
	ifVersion          uint64
	restriction        bool
	replaced           *model.Object // the object version that the write replaces, nil if not cached
	attemptNumber      uint64        // number of the attempt in progress, 0 while reading back
	deadline           model.Time
	mayHaveTakenEffect bool // an attempt may have taken effect or may still do so
	readingBack        bool
	nextRead           model.Time
}

// Write starts a write of obj on the condition that the store has version ifVersion of it (0:
// no such object). command is the number of the operator's command that is answered when the
// write ends, or 0. It ends at once if another write of the object is in progress or a newer
// version is cached.
func (c *Cache) Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	c.startWrite(&write{command: command, object: obj, ifVersion: ifVersion}, now, out)
}

// WriteRestriction is Write for a zone out or a pause, which becomes an override when an
// attempt fails or the write times out. Other objects are written as by Write.
func (c *Cache) WriteRestriction(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List) {
	restricts := validOverride(&event.Override{Key: obj.Key, Zone: obj.Zone, Pause: obj.Automation})
	c.startWrite(&write{command: command, object: obj, ifVersion: ifVersion, restriction: restricts}, now, out)
}

// Pending reports whether a write of the object is in progress.
func (c *Cache) Pending(key model.ObjectKey) bool { return c.pendingWrite(key) != nil }

func (c *Cache) pendingWrite(key model.ObjectKey) *write {
	for _, w := range c.writes {
		if w.object.Key == key {
			return w
		}
	}
	return nil
}

func (c *Cache) writeByAttempt(number uint64) *write {
	for _, w := range c.writes {
		if w.attemptNumber == number {
			return w
		}
	}
	return nil
}

func (c *Cache) startWrite(w *write, now model.Time, out *effect.List) {
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
			w.replaced = cached
		}
	}
	w.object.Write = c.nextWriteID()
	w.deadline = now.Add(c.cfg.WriteTimeout)
	c.writes = append(c.writes, w)
	c.sendAttempt(w, out)
}

func (c *Cache) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

func (c *Cache) nextWriteID() model.WriteID {
	return model.WriteID{VM: c.cfg.Self, Boot: c.cfg.Boot, Number: c.nextNumber()}
}

func (c *Cache) sendAttempt(w *write, out *effect.List) {
	w.readingBack = false
	w.attemptNumber = c.nextNumber()
	out.Add(effect.WriteObject{Write: w.attemptNumber, Object: w.object, IfVersion: w.ifVersion})
}

// WriteDone handles the result of an attempt to write an object or an override. If the reply
// was lost, the object is read back; an override that was not written is tried again later.
// It reports whether the configuration changed.
func (c *Cache) WriteDone(ev event.WriteDone, now model.Time, out *effect.List) bool {
	answered := ev.Outcome == event.WriteOK || ev.Outcome == event.WriteConflict
	changed := false
	if answered {
		c.recordStoreSuccess(now)
		changed = c.merge(&ev.Object, out)
	}
	if w := c.writeByAttempt(ev.Write); w != nil {
		if !answered {
			c.recordStoreFailure(now)
		}
		return c.handleAttemptResult(w, ev, now, out) || changed
	}
	if o := c.overrideByWrite(ev.Write); o != nil {
		if !answered {
			c.recordStoreFailure(now)
		}
		o.writeNumber = 0
		o.nextWriteAt = now.Add(writeBackRetry)
		return changed
	}
	// The attempt was abandoned. Its outcome no longer matters, but the object that the store
	// returned can resolve a later write.
	if w := c.pendingWrite(ev.Object.Key); answered && w != nil {
		c.resolveWrite(w, &ev.Object, false, now, out)
	}
	return changed
}

// handleAttemptResult handles the result of the attempt in progress. It reports whether the
// configuration changed.
func (c *Cache) handleAttemptResult(w *write, ev event.WriteDone, now model.Time, out *effect.List) bool {
	switch ev.Outcome {
	case event.WriteOK:
		c.finishWrite(w, effect.CommandOK, "", &ev.Object, out)
	case event.WriteConflict:
		c.handleConflict(w, &ev.Object, now, out)
	case event.WriteFailed:
		return c.handleFailure(w, now, out)
	case event.WriteUnknown:
		c.readBack(w, now, out)
	}
	return false
}

// handleConflict handles an attempt that wrote nothing because the object has another
// version, which an earlier attempt may have written.
func (c *Cache) handleConflict(w *write, current *model.Object, now model.Time, out *effect.List) {
	switch {
	case current.Write == w.object.Write:
		c.finishWrite(w, effect.CommandOK, "", current, out)
	case !w.mayHaveTakenEffect:
		c.finishConflict(w, out)
	case current.Version == 0:
		c.readBack(w, now, out)
	default:
		c.resolveWrite(w, current, false, now, out)
	}
}

// handleFailure handles an attempt that wrote nothing because the store could not be reached.
// It reports whether the configuration changed.
func (c *Cache) handleFailure(w *write, now model.Time, out *effect.List) bool {
	switch {
	case w.restriction:
		return c.convertToOverride(w, now, out)
	case w.mayHaveTakenEffect:
		c.readBack(w, now, out)
	default:
		c.finishWrite(w, effect.CommandUnavailable, "the store cannot be reached; nothing was changed", nil, out)
	}
	return false
}

// readBack reads the object from the store, because an attempt may have taken effect. The
// first time it extends the deadline, except for restrictions, which become an override at
// their deadline.
func (c *Cache) readBack(w *write, now model.Time, out *effect.List) {
	if !w.mayHaveTakenEffect && !w.restriction {
		w.deadline = now.Add(c.cfg.WriteTimeout)
	}
	w.mayHaveTakenEffect = true
	w.readingBack = true
	w.attemptNumber = 0
	w.nextRead = now.Add(readInterval)
	out.Add(effect.ReadObject{Key: w.object.Key})
}

// resolveWrite updates a write after version o of its object was received. It ends the write
// if o shows the outcome, and sends the write again if a read-back found the old version.
func (c *Cache) resolveWrite(w *write, o *model.Object, fromStore bool, now model.Time, out *effect.List) {
	base := w.object.Base
	absent := o.Deleted && w.ifVersion == 0
	switch {
	case o.Write == w.object.Write:
		c.finishWrite(w, effect.CommandOK, "", o, out)
	case o.Version == base || absent && o.Version < base:
		if w.readingBack && fromStore {
			c.sendAttempt(w, out)
		}
	case o.Version < base:
		// o is older than the version that the write replaces and shows nothing.
	case o.Write != model.WriteID{} && o.Base == base:
		c.finishConflict(w, out) // o's write replaced base, so this one cannot have
	case w.mayHaveTakenEffect:
		text := fmt.Sprintf("the answer was lost and %s has since reached version %d; the write may have been one of the versions before it", o.Key, o.Version)
		c.finishWrite(w, effect.CommandUnknown, text, c.objects.get(o.Key), out)
	}
}

// advanceWrites repeats due read-backs and expires writes past their deadline. It reports
// whether the configuration changed.
func (c *Cache) advanceWrites(now model.Time, out *effect.List) bool {
	changed := false
	for _, w := range slices.Clone(c.writes) {
		switch {
		case now >= w.deadline:
			if c.expireWrite(w, now, out) {
				changed = true
			}
		case w.readingBack && now >= w.nextRead:
			c.readBack(w, now, out)
		}
	}
	return changed
}

// expireWrite handles a write past its deadline. A restriction becomes an override. Any other
// write is read back if that has not been tried yet, and otherwise ends with an unknown
// outcome. It reports whether the configuration changed.
func (c *Cache) expireWrite(w *write, now model.Time, out *effect.List) bool {
	c.recordStoreFailure(now)
	switch {
	case w.restriction:
		w.mayHaveTakenEffect = true
		return c.convertToOverride(w, now, out)
	case !w.mayHaveTakenEffect:
		c.readBack(w, now, out)
	default:
		text := "the answer was lost and the store could not be read back; the write may have taken effect"
		c.finishWrite(w, effect.CommandUnknown, text, nil, out)
	}
	return false
}

// convertToOverride ends the write of a restriction and puts the restriction in force as an
// override, unless a newer object or override is known. It reports whether the override is in
// force.
func (c *Cache) convertToOverride(w *write, now model.Time, out *effect.List) bool {
	c.clock++
	applied := c.applyOverride(event.Override{
		Key:   w.object.Key,
		Base:  w.object.Base,
		Clock: c.clock,
		VM:    c.cfg.Self,
		Zone:  w.object.Zone,
		Pause: w.object.Automation,
	}, now, out)
	switch {
	case applied:
		c.finishWrite(w, effect.CommandOverride, overrideReplyText, nil, out)
	case w.mayHaveTakenEffect:
		text := fmt.Sprintf("the answer was lost and %s has since changed; the write may have taken effect", w.object.Key)
		c.finishWrite(w, effect.CommandUnknown, text, c.objects.get(w.object.Key), out)
	default:
		c.finishConflict(w, out)
	}
	return applied
}

func (c *Cache) finishConflict(w *write, out *effect.List) {
	c.removeWrite(w)
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

func (c *Cache) finishWrite(w *write, code effect.CommandCode, text string, o *model.Object, out *effect.List) {
	c.removeWrite(w)
	reply(w, code, text, o, out)
}

func (c *Cache) removeWrite(w *write) {
	c.writes = slices.DeleteFunc(c.writes, func(other *write) bool { return other == w })
}

// reply answers the operator's command that caused the write, if there is one.
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
