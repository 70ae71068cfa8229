package directory

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/internal/golden"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// record keeps the events and effects of a world as a session.
func (w *world) record(s *golden.Session) {
	w.onEvent = func(ev Event, effects []Effect) {
		s.Event(time.Duration(w.now), ev)
		for _, e := range effects {
			s.Effect(e)
		}
	}
}

// Guards the effects of whole sessions against unintended change.
func TestGoldenSessions(t *testing.T) {
	sessions := map[string]func(w *world){
		"store-outage": func(w *world) {
			for k := range kinds {
				w.do(ReadFailed{Kind: k, Cause: "status 503"})
			}
			w.wait(3 * time.Second)
			w.do(Listed{Kind: KindConfig, Revision: 9, Changes: []Change{config(3, 4)}})
			w.do(Listed{Kind: KindReplicas, Revision: 9}) // s1 has lapsed
			w.wait(time.Second)
			w.do(Changed{Kind: KindReplicas, Revision: 10, Changes: []Change{server("s2", 2, false, 10)}})
			w.wait(2 * time.Second) // s1 counts as gone
		},
		"reader-lost": func(w *world) {
			w.do(Listed{Kind: KindVMs, Revision: 8, Changes: []Change{vmEntry("vm1"), vmEntry("vm2"), vmEntry("vm3")}})
			w.do(UpstreamStatusReceived{From: "vm2", Ages: Ages{}, Update: &Update{Kind: KindConfig, Since: 5, Revision: 9, Changes: []Change{config(4, 9)}}})
			w.wait(time.Second)
			w.wait(time.Second) // the followed VMs are silent
			w.do(FollowEnded{From: "vm3", Cause: "reset"})
		},
		"rollout": func(w *world) {
			w.do(Changed{Kind: KindRollouts, Revision: 6, Changes: []Change{rolloutOrder(model.RolloutOrdered, 6)}})
			w.do(RolloutWriteEnded{Name: "set"})
			w.do(Changed{Kind: KindRollouts, Revision: 7, Changes: []Change{rolloutOrder(model.RolloutRunning, 7)}})
			w.do(FollowerJoined{Follower: 1})
			w.do(pairsOf("vm2", 9, 9))
			w.do(LocalEvidenceReceived{Evidence: pairs(9, 9)})
			w.do(RolloutWriteEnded{Name: "set"})
			w.do(Changed{Kind: KindRollouts, Revision: 8, Changes: []Change{rolloutOrder(model.RolloutRolledBack, 8)}})
		},
	}
	for name, play := range sessions {
		t.Run(name, func(t *testing.T) {
			var log golden.Session
			w := started("vm1")
			w.record(&log)
			play(w)
			log.Check(t, name)
		})
	}
}
