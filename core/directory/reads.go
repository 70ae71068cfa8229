package directory

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// read is the state of what is known of one kind and of its reads.
type read struct {
	revision uint64 // up to which the objects are known; 0 before the first list
	running  bool
	failures int        // in a row
	dueAt    model.Time // of the next read, if none is running
	list     bool       // the next read lists all objects
	gap      bool       // changes are missing, so that only a list helps
	okAt     model.Time // at which the store last confirmed what is known
}

// readEnded takes the end of a read of the store.
func (s *State) readEnded(ev Event, now model.Time) {
	switch ev := ev.(type) {
	case Listed:
		if ev.Kind == KindVMs {
			s.vmLists++
		}
		s.reads[ev.Kind].list = ev.Kind == KindVMs && s.vmLists < startLists
		s.storeAnswered(ev.Kind, now)
		s.take(Update{Kind: ev.Kind, Full: true, Revision: ev.Revision, Changes: ev.Changes}, now)
		s.scheduleNext(ev.Kind, false, now)
	case Changed:
		since := s.reads[ev.Kind].revision
		s.storeAnswered(ev.Kind, now)
		s.take(Update{Kind: ev.Kind, Since: since, Revision: ev.Revision, Changes: ev.Changes}, now)
		s.scheduleNext(ev.Kind, len(ev.Changes) > 0, now)
	case HistoryGone:
		r := &s.reads[ev.Kind]
		r.running, r.list, r.dueAt = false, true, now
		s.log(logline.Info, "history of the store is gone, listing again", logline.F("kind", ev.Kind), logline.F("since", r.revision))
	case ReadFailed:
		s.readFailed(ev, now)
	}
}

func (s *State) storeAnswered(k Kind, now model.Time) {
	r := &s.reads[k]
	r.running, r.failures = false, 0
	if s.failing {
		s.failing = false
		s.log(logline.Info, "store is back", logline.F("kind", k), logline.F("last_confirmed_ago", now.Sub(r.okAt)))
		for other := range s.reads {
			if !s.reads[other].running {
				s.reads[other].dueAt = min(s.reads[other].dueAt, now)
			}
		}
	}
	s.confirm(k, now)
}

// confirm notes that the store confirmed at a time what is known of a kind. After a long time
// without one, entries of live servers may have lapsed.
func (s *State) confirm(k Kind, at model.Time) {
	r := &s.reads[k]
	if at <= r.okAt {
		return
	}
	gap := at.Sub(r.okAt)
	if k == KindReplicas && r.revision > 0 && gap >= s.cfg.ExpiryThreshold {
		s.doubtUntil = at.Add(s.cfg.ReregistrationGrace)
		s.log(logline.Info, "entries may have lapsed while the store was away", logline.F("away", gap), logline.F("kept_for", s.cfg.ReregistrationGrace))
	}
	r.okAt = at
}

// watchFailures is the number of reads that fail in a row after which a kind is listed: a store
// may be too slow for watches, which have less time to answer.
const watchFailures = 2

func (s *State) readFailed(ev ReadFailed, now model.Time) {
	r := &s.reads[ev.Kind]
	r.running = false
	r.failures++
	if r.failures >= watchFailures {
		r.list = true
	}
	r.dueAt = now.Add(min(s.cfg.RetryMin<<min(r.failures-1, 8), s.cfg.RetryMax))
	if !s.failing {
		s.failing = true
		s.log(logline.Warn, "store does not answer", logline.F("kind", ev.Kind), logline.F("cause", ev.Cause),
			logline.F("last_confirmed_ago", now.Sub(r.okAt)))
	}
}

func (s *State) scheduleNext(k Kind, gather bool, now model.Time) {
	r := &s.reads[k]
	r.dueAt = now
	switch {
	case k == KindVMs && s.vmLists < startLists:
		r.dueAt = s.startedAt.Add(s.cfg.ReaderGrace)
	case gather && k == KindReplicas:
		r.dueAt = now.Add(s.cfg.BatchDelay)
	}
}

// nextRead returns the earliest time for the next read of a kind by this VM. A VM that follows
// others reads only what they do not keep fresh. While the store does not answer, only the
// configuration is asked for.
func (s *State) nextRead(k Kind, now model.Time) model.Time {
	r := &s.reads[k]
	if k == KindVMs && s.vmLists < startLists {
		return r.dueAt // the other VMs have to be known first
	}
	if s.failing && k != KindConfig && r.okAt != 0 {
		return noRead
	}
	if s.isReader(now) {
		return r.dueAt
	}
	return max(r.dueAt, s.staleAt(k))
}

// startLists is how often a VM lists the VMs at its start: the first list may lack those that
// start at the same time.
const startLists = 2

const noRead = model.Time(1<<63 - 1)

// staleAt returns the time at which a kind counts as no longer fresh.
func (s *State) staleAt(k Kind) model.Time {
	r := &s.reads[k]
	if r.revision == 0 {
		return s.startedAt.Add(s.cfg.FollowGrace)
	}
	return r.okAt.Add(s.cfg.WatchWaits[k] + s.cfg.FreshnessMargin)
}

// isReader reports whether this VM reads the store for others. At its start it waits until the
// VMs that start with it have registered.
func (s *State) isReader(now model.Time) bool {
	if len(s.followers) > 0 {
		return true
	}
	return now >= s.startedAt.Add(s.cfg.ReaderGrace) && s.ranked() < s.cfg.Readers
}

// runReads starts the reads that are due.
func (s *State) runReads(now model.Time) {
	for k := range s.reads {
		r := &s.reads[k]
		if r.running || now < s.nextRead(Kind(k), now) {
			continue
		}
		r.running = true
		if r.list || r.revision == 0 {
			s.emit(List{Kind: Kind(k)})
		} else {
			s.emit(Watch{Kind: Kind(k), Since: r.revision, Wait: s.cfg.WatchWaits[k]})
		}
	}
}

// take applies an update from the store or from another VM and passes it on if it is new.
func (s *State) take(u Update, now model.Time) {
	r := &s.reads[u.Kind]
	if u.Revision <= r.revision && !(u.Full && r.gap) {
		return
	}
	if !u.Full && u.Since > r.revision {
		s.log(logline.Warn, "changes are missing, reading the store", logline.F("kind", u.Kind),
			logline.F("known", r.revision), logline.F("since", u.Since))
		r.gap, r.list, r.okAt = true, true, 0
		return
	}
	changes := u.Changes
	if u.Full {
		r.gap = false
		r.list = r.list && u.Kind == KindVMs && s.vmLists < startLists // a VM may have sent it
		changes = append(s.missing(u), changes...)
	}
	s.changed = s.changed || r.revision == 0
	r.revision = u.Revision
	s.apply(u.Kind, changes, now)
	if len(s.followers) > 0 {
		s.emit(SendUpdate{Ages: s.ages(now), Rollouts: s.orderWords(now), Update: &u})
	}
}

// missing returns the removals that a full list implies.
func (s *State) missing(u Update) []Change {
	listed := make(map[string]bool, len(u.Changes))
	for _, c := range u.Changes {
		listed[c.Name] = true
	}
	var removed []Change
	for _, name := range keysOf(s.objects[u.Kind]) {
		if !listed[name] {
			removed = append(removed, Change{Name: name, Revision: u.Revision, Removed: true})
		}
	}
	return removed
}

func (s *State) ages(now model.Time) Ages {
	var ages Ages
	for k := range s.reads {
		ages[k] = UnknownAge
		if s.reads[k].revision > 0 {
			ages[k] = max(now.Sub(s.reads[k].okAt), 0)
		}
	}
	return ages
}
