package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Drain stops dispatching for a key and reports event.KeyDrained. Attempts in flight go on
// and are answered to their entry daemons.
func (o *Owner) Drain(ev event.DrainKey, now model.Time, out *effect.List) {
	o.begin(now, out)
	defer o.end()
	drained := event.KeyDrained{Key: ev.Key, Term: ev.Term}
	if k, ok := o.keys[ev.Key]; ok {
		if k.lease.Term > ev.Term {
			return // the key was gained anew since
		}
		k.drained = true
		k.drainedTerm = max(k.drainedTerm, ev.Term)
		o.settle(k)
		drained.Running = k.remaining(now)
		drained.Submits = k.submits.recent(now)
		drained.Servers = k.serverStates(now)
	}
	o.count(CountDrained)
	o.out.Add(effect.ReportDrained{Drained: drained})
}

// remaining lists the occupied slots, by server, with the time for which each may stay so.
func (k *shardKey) remaining(now model.Time) []event.Remaining {
	var all []event.Remaining
	for _, s := range k.servers {
		add := func(left time.Duration) {
			all = append(all, event.Remaining{Server: s.config.ID, Left: max(0, left)})
		}
		for _, r := range k.running {
			for _, a := range r.attempts {
				if a.server == s {
					add(a.until.Sub(now))
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

// serverStates lists the cold-start states for the next owner. Unusable servers are left
// out, since they start cold when they become usable.
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

// takeOver applies the states that the previous owner released to the backend servers of a
// key. Every other one starts cold.
func (o *Owner) takeOver(k *shardKey) {
	for _, s := range k.servers {
		if state := k.releasedState(s.config.ID); state != nil {
			s.resume(state, o.now)
			continue
		}
		s.toCold(o.now)
		o.count(CountColdStarts)
	}
}

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
