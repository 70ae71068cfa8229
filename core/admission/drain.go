package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Drain stops dispatching for a key and reports [event.KeyDrained]. Attempts in flight
// continue, and their results are sent to the entry daemons. A drain of a term that is older
// than the current one is ignored.
func (o *Owner) Drain(ev event.DrainKey, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	drained := event.KeyDrained{Key: ev.Key, Term: ev.Term}
	if k, ok := o.keys[ev.Key]; ok {
		if k.lease.Term > ev.Term {
			return // a newer term of the key has started
		}
		k.drained = true
		k.drainedTerm = max(k.drainedTerm, ev.Term)
		o.process(k)
		drained.Running = k.runningAttempts(now)
		drained.Submits = k.submits.recent(now)
		drained.Servers = k.serverStates(now)
	}
	o.count(CountDrained)
	o.out.Add(effect.ReportDrained{Drained: drained})
}

// runningAttempts returns the attempts that occupy slots, ordered by server, each with the longest
// time for which it may still run. Inherited attempts of the previous owner are included.
func (k *shardKey) runningAttempts(now model.Time) []event.Remaining {
	var all []event.Remaining
	for _, s := range k.servers {
		add := func(left time.Duration) {
			all = append(all, event.Remaining{Server: s.config.ID, Left: max(0, left)})
		}
		for _, r := range k.running {
			for _, a := range r.attempts {
				if a.server == s {
					add(a.timesOutAt.Sub(now))
				}
			}
		}
		s.dropExpired(now)
		for _, until := range s.inherited {
			add(until.Sub(now))
		}
	}
	return all
}

// serverStates returns the cold-start states for the next owner. Unusable servers are omitted,
// since they start cold when they become usable.
func (k *shardKey) serverStates(now model.Time) []model.ServerState {
	var all []model.ServerState
	for _, s := range k.servers {
		if !s.usable {
			continue
		}
		all = append(all, model.ServerState{
			Server:    s.config.ID,
			Boot:      s.boot,
			Limit:     s.limitAt(now),
			Successes: s.successes,
		})
	}
	return all
}

// applyReleasedStates applies the cold-start states that the previous owner released to the
// backend servers of a key. Servers without such a state start cold.
func (o *Owner) applyReleasedStates(k *shardKey) {
	for _, s := range k.servers {
		if state := k.releasedState(s.config.ID); state != nil {
			s.resume(state, o.now)
			continue
		}
		s.resetToCold(o.now)
		o.count(CountColdStarts)
	}
}

// releasedState returns the state that the previous owner released for a server, or nil.
func (k *shardKey) releasedState(id model.BackendServerID) *model.ServerState {
	if !k.lease.Clean {
		return nil
	}
	for i := range k.lease.Servers {
		if k.lease.Servers[i].Server == id {
			return &k.lease.Servers[i]
		}
	}
	return nil
}
