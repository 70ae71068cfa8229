package query_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

var seeds = flag.Int("seeds", 1000, "number of seeds that TestRandomSessions runs")

// TestRandomSessions checks guarantees 1, 2, 6, 7 and 8 of the design page. It simulates random
// sessions with faults and compares each reply to a caller with what the simulated owners did.
func TestRandomSessions(t *testing.T) {
	failed, answers, partial, refusals := 0, 0, 0, map[model.RefusalCode]int{}
	counts := map[string]int64{}
	for seed := range uint64(*seeds) {
		s := newSimulation(seed)
		s.run()
		if len(s.violations) > 0 {
			failed++
			if failed <= 5 {
				t.Errorf("seed %d: %d violations, first %s", seed, len(s.violations), s.violations[0])
			}
		}
		for _, r := range s.replies {
			if r.Refusal != nil {
				refusals[r.Refusal.Code]++
				continue
			}
			answers++
			if !r.Answer.Coverage.Complete() {
				partial++
			}
		}
		for name, n := range s.counts {
			counts[name] += n
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d seeds failed", failed, *seeds)
	}
	t.Logf("answers %d, partial %d, refusals %v, counts %v", answers, partial, refusals, counts)
}

// TestSameSeedSameEffects guards against sub-requests that depend on the iteration order of maps.
func TestSameSeedSameEffects(t *testing.T) {
	for seed := range uint64(20) {
		a, b := newSimulation(seed), newSimulation(seed)
		a.run()
		b.run()
		if fmt.Sprintf("%+v", a.sent) != fmt.Sprintf("%+v", b.sent) {
			t.Fatalf("seed %d: sub-requests differ between two runs", seed)
		}
	}
}

// FuzzEvents applies arbitrary event sequences, including invalid ones, and guards against panics,
// endless wakes, and requests that get no reply or more than one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{1, 0, 2, 0, 2, 1, 2, 2})
	f.Add([]byte{1, 2, 3, 0, 1, 4, 0, 8, 1, 5, 9, 0, 3, 3, 200, 7, 7, 6, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDriver(1, nil)
		requested := map[model.QueryID]bool{}
		next := func() int {
			if len(data) == 0 {
				return 0
			}
			b := data[0]
			data = data[1:]
			return int(b)
		}
		for len(data) > 0 {
			fuzzEvent(d, requested, next)
		}
		d.advance(time.Hour)
		replyCount := map[model.QueryID]int{}
		for _, r := range d.replies {
			replyCount[r.Query]++
		}
		for id := range requested {
			if replyCount[id] != 1 {
				t.Errorf("query %d has %d replies", id, replyCount[id])
			}
		}
		if d.table.Running() != 0 || d.table.NextWake() != model.Never {
			t.Errorf("%d queries are still running", d.table.Running())
		}
	})
}

// fuzzEvent applies one event that is built from the fuzz input.
func fuzzEvent(d *driver, requested map[model.QueryID]bool, next func() int) {
	switch next() % 8 {
	case 0:
		view := newView(next()%5, uint64(next()%3))
		if next()%5 == 0 {
			view.Owners, view.Peers = nil, nil
		}
		if next()%7 == 0 {
			view.Config.Templates[testRoute.Customer] = nil
		}
		view.Config.Shares = map[model.Route]model.VersionShare{
			testRoute: {Move: "m", From: "v1", To: "v2", Share: float64(next()) / 128},
		}
		d.apply(event.ViewPublished{View: view})
	case 1:
		r := model.Request{
			Query: model.QueryID(len(requested) + 1), Kind: model.Kind(next() % 4), Shard: shardName(next() % 5),
			Budget: time.Duration(next()-5) * ms, MinCoverage: float64(next()-100) / 100,
			Limit: next()%5 - 1, Snapshot: model.Snapshot(next() % 4),
		}
		requested[r.Query] = true
		d.request(r)
	case 2, 3:
		if len(d.sent) == 0 {
			return
		}
		s := d.sent[next()%len(d.sent)]
		reply := replyTo(s, model.OutcomeCode(next()%15), model.Snapshot(next()%5), model.Snapshot(next()%5))
		reply.Owner = model.Owner{VM: testVMs[next()%3], Boot: model.Boot(next() % 2)}
		reply.Attempts = next() - 3
		d.reply(s.to, reply)
	case 4:
		if len(d.sent) == 0 {
			return
		}
		s := d.sent[next()%len(d.sent)]
		d.apply(event.SendFailed{To: s.to, Requests: []model.SubRequest{s.SubRequest}, Sent: next()%2 == 0})
	case 5:
		d.apply(event.PeerLost{VM: testVMs[next()%3]})
	case 6:
		d.apply(event.CallerGone{Query: model.QueryID(next() % 8)})
	case 7:
		d.advance(time.Duration(d.now) + time.Duration(next())*ms/4)
	}
}
