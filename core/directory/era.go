package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// The store may come back from a copy that is some seconds old. It then begins a new era: what it has
// acknowledged since the copy is lost, and the revisions after those of the copy are given out again.
// Servers, operators and VMs write again what is lost, each for itself. Until then
//
//   - an object that the copy lacks is kept (heldObjects, and removeReplica for servers);
//   - an object that the copy has in an older state does not replace the newer one (isOutdated, and
//     rollout.update);
//   - a server that had left and is back gets no requests (departure);
//   - an order of a rollout that is back goes on as before (knownOrder).

// enterEra makes an era of the store the current one if it is newer. All objects are listed again, on new
// connections, since nothing that was cached or asked for tells what is new in this era.
func (s *State) enterEra(era uint64, now model.Time) {
	if era <= s.era {
		return
	}
	before := s.era
	s.era = era
	if !slices.ContainsFunc(s.reads[:], func(r readState) bool { return r.known() }) {
		return
	}
	s.eraRose = true
	s.log(logline.Warn, "store came back from an older copy, listing all objects", logline.F("era", era), logline.F("before", before),
		logline.F("last_answer_ago", now.Sub(s.storeHeardAt)))
	for k := range s.reads {
		r := &s.reads[k]
		r.listNext, r.outlived, r.dueAt = true, r.running, now
	}
	s.nextRegistrationAt = min(s.nextRegistrationAt, now)
	s.restartReads(now)
}

// isOfEarlierEra reports whether a message of a VM that knows the given era is from before the current one.
// A VM of an earlier build does not tell its era. It does not notice that the store has come back from a copy.
func (s *State) isOfEarlierEra(era uint64) bool {
	return era < s.era && (era != 0 || s.eraRose)
}

// currentPosition returns the position of the store that an answer to a read reflects. It returns false and
// makes the next read due if the answer is late: the read began in an earlier era, and the answer is of that.
// Other answers without an era, or with one that has fallen, count as of the current era.
func (s *State) currentPosition(k Kind, at model.Position, now model.Time) (model.Position, bool) {
	s.enterEra(at.Era, now)
	if at.Era >= s.era {
		return at, true
	}
	r := &s.reads[k]
	if r.outlived && at.Era != 0 {
		r.running, r.listNext, r.dueAt = false, true, now
		s.log(logline.Info, "ignored a late answer of the store from an earlier era", logline.F("kind", k), logline.F("revision", at),
			logline.F("era", s.era))
		return at, false
	}
	if at.Era != 0 && at.Era != s.oddEra {
		s.oddEra = at.Era
		s.log(logline.Warn, "store states an earlier era, which is ignored", logline.F("kind", k), logline.F("revision", at), logline.F("era", s.era))
	}
	at.Era = s.era
	return at, true
}

// withEra returns changes in which a position without an era has got one.
func withEra(changes []Change, era uint64) []Change {
	changes = slices.Clone(changes)
	for i := range changes {
		if changes[i].Position.Era == 0 {
			changes[i].Position.Era = era
		}
	}
	return changes
}

// copyMemory is how long servers that have left and orders of rollouts that are gone are remembered. It exceeds
// the age of the copies from which the store comes back.
const copyMemory = time.Minute

// heldObjects are the cached objects of a kind that are missing from the copy from which the store came
// back. They count until they are written again or removed, or until the end of the hold.
type heldObjects struct {
	names map[string]bool
	until model.Time
}

// holdTime returns how long objects of a kind are held. A zone or a rollout that is dropped too early costs
// callers more than one that is kept too long. A VM shares the limits until it would be removed for its
// silence; a VM that runs writes its registration again at once.
func (s *State) holdTime(k Kind) time.Duration {
	if k == KindVMs {
		return s.cfg.SilenceTimeout + checksBeforeRemoval*s.cfg.CheckInterval
	}
	return s.cfg.OrderGrace
}

// holdMissing holds the objects that the first list of an era lacks, and returns the removals to apply at
// once. Those of servers count as expirations, for which ReregistrationGrace begins.
func (s *State) holdMissing(k Kind, missing []Change, now model.Time) []Change {
	if k == KindReplicas {
		s.expiryGraceUntil = now.Add(s.cfg.ReregistrationGrace)
		return missing
	}
	if k == KindConfig || len(missing) == 0 {
		return nil // the configuration in force stays
	}
	h := &s.held[k]
	h.until = now.Add(s.holdTime(k))
	for _, c := range missing {
		h.names[c.Name] = true
		delete(s.objects[k], c.Name)
	}
	s.log(logline.Info, "objects are missing from the copy of the store, kept until they may be written again", logline.F("kind", k),
		logline.F("objects", len(missing)), logline.F("first", missing[0].Name), logline.F("kept_for", s.holdTime(k)))
	return nil
}

// endHolds removes the held objects that were not written again in time.
func (s *State) endHolds(now model.Time) {
	for k := range s.held {
		h := &s.held[k]
		if len(h.names) == 0 || now < h.until {
			continue
		}
		var removed []Change
		for _, name := range slices.Sorted(maps.Keys(h.names)) {
			removed = append(removed, Change{Name: name, Position: s.reads[k].position, Removed: true})
		}
		s.log(logline.Info, "objects were not written again after the store came back from a copy", logline.F("kind", Kind(k)),
			logline.F("objects", len(removed)))
		s.apply(Kind(k), removed, now)
	}
}

// nextHoldEnd returns the end of the next hold, or model.Never.
func (s *State) nextHoldEnd() model.Time {
	next := model.Never
	for k := range s.held {
		if len(s.held[k].names) > 0 {
			next = min(next, s.held[k].until)
		}
	}
	return next
}

// departure is the removal of a server's entry. If the entry is back in a later era, it may only be that of
// the copy, and the server be gone.
type departure struct {
	position  model.Position
	at        model.Time
	startedAt time.Time // start of the server's process
}

// recordDeparture remembers a server whose entry is removed. Once in copyMemory it forgets those that were
// removed long ago: many may be removed at once.
func (s *State) recordDeparture(name string, position model.Position, r *replica, now model.Time) {
	if now >= s.forgetDeparturesAt {
		s.forgetDeparturesAt = now.Add(copyMemory)
		maps.DeleteFunc(s.departed, func(_ string, d departure) bool { return now.Sub(d.at) >= copyMemory })
	}
	s.departed[name] = departure{position: position, at: now, startedAt: r.value.StartedAt}
}

// hadLeft reports whether the server of an entry had left in an earlier era.
func (s *State) hadLeft(c Change, r *model.Replica) bool {
	if old, ok := s.replicas[c.Name]; ok {
		return old.doubtedUntil != 0 && old.position.Era < c.Position.Era
	}
	d, ok := s.departed[c.Name]
	return ok && d.position.Era < c.Position.Era && !r.StartedAt.After(d.startedAt)
}

// doubtEnd returns until when a server that is listed gets no requests, or 0. A server that had left in an
// earlier era is listed although it may have ended. If it runs, it writes its entry, and the store keeps it;
// otherwise the store removes the entry within ServerExpiry.
func (s *State) doubtEnd(c Change, r *model.Replica, now model.Time) model.Time {
	if old, ok := s.replicas[c.Name]; ok && old.position == c.Position {
		return old.doubtedUntil
	}
	if !s.fullUpdate || !s.hadLeft(c, r) {
		return 0
	}
	s.log(logline.Info, "server that had left is listed again, not used until its entry has lasted", logline.F("server", c.Name),
		logline.F("revision", c.Position), logline.F("for", s.cfg.ServerExpiry))
	end := now.Add(s.cfg.ServerExpiry)
	s.nextDoubtEnd = min(s.nextDoubtEnd, end)
	return end
}

// endDoubts makes the servers usable whose entries have lasted.
func (s *State) endDoubts(now model.Time) {
	if now < s.nextDoubtEnd {
		return
	}
	s.nextDoubtEnd = model.Never
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		if r.doubtedUntil == 0 {
			continue
		}
		if now < r.doubtedUntil {
			s.nextDoubtEnd = min(s.nextDoubtEnd, r.doubtedUntil)
			continue
		}
		r.doubtedUntil = 0
		s.viewChanged, s.versionsDue = true, true
		s.log(logline.Info, "server is used again, its entry has lasted", logline.F("server", name))
	}
}
