package admission

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// withheldStep is the time after which the successor may use each further slot of a
// server that is not warm. A release does not carry limits, so that withheld slots are
// reported as occupied.
const withheldStep = time.Second

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
		occupied := s.inFlightAt(now)
		for _, until := range s.inherited {
			add(until.Sub(now))
		}
		limit := s.limitAt(now)
		if !s.usable {
			limit = s.coldBound // it starts cold when it becomes usable
		}
		withheld := s.slots - max(limit, occupied)
		for i := range max(0, withheld) {
			add(time.Duration(i+1) * withheldStep)
		}
	}
	return all
}
