package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Load of TestColdStartUnderLoad: all servers of a route start cold under half of the load that
// they can serve when warm.
const (
	coldShards    = 20
	coldWarmAfter = 50
	coldLoadShare = 0.5
	coldSeeds     = 4
	coldRunTime   = 1600 * time.Millisecond
	// coldPeriod is the time from the start over which outcomes are counted. A server needs
	// about this time for coldWarmAfter sequential requests.
	coldPeriod = 500 * time.Millisecond
	// meanService is the mean of fleet.serviceTime.
	meanService = 9880 * time.Microsecond
	// warmWindow is the number of consecutive queries, about one second of load, of which 99%
	// must be answered by all shards for the fleet to count as warm.
	warmWindow = 300
)

// coldClasses holds the cumulative share of queries by class.
var coldClasses = [...]float64{0.2, 0.8, 1}

// coldQuery is one query and the number of its shards by outcome.
type coldQuery struct {
	at       time.Duration // since the start
	class    model.Class
	answered int
	shed     int
	late     int // any other outcome
}

// coldResult holds the time to warm up and the number of queries of coldPeriod by class.
type coldResult struct {
	warm     time.Duration // start of the first warmWindow queries of which 99% are answered by all shards
	total    [len(coldClasses)]int
	shed     [len(coldClasses)]int // shed by at least one shard and late on none
	late     [len(coldClasses)]int
	answered [len(coldClasses)]int // shards, not queries
}

func (r *coldResult) add(o coldResult) {
	r.warm += o.warm
	for c := range r.total {
		r.total[c] += o.total[c]
		r.shed[c] += o.shed[c]
		r.late[c] += o.late[c]
		r.answered[c] += o.answered[c]
	}
}

func (r *coldResult) String() string {
	s := fmt.Sprintf("warm after %v;", (r.warm / coldSeeds).Round(time.Millisecond))
	for c, n := range r.total {
		percent := func(k int) float64 { return 100 * float64(k) / float64(max(n, 1)) }
		s += fmt.Sprintf(" class %d: %d queries, complete %.1f%%, shed %.1f%%, late %.1f%%, shards answered %.1f%%;",
			c, n, percent(n-r.shed[c]-r.late[c]), percent(r.shed[c]), percent(r.late[c]), percent(r.answered[c])/coldShards)
	}
	return s
}

// runColdStart sends queries to all shards in virtual time.
func runColdStart(seed uint64, budget time.Duration) (*harness, *fleet, coldResult) {
	v := changeView(newView(coldShards), func(v *model.View, c *model.VersionConfig) {
		c.Limits.WarmAfter = coldWarmAfter
		for key := range v.Leases {
			v.Leases[key] = model.Lease{Until: model.Never, Term: 1}
		}
	})
	h := newHarness(v)
	f := newFleet(h, rand.New(rand.NewPCG(seed, 11)))
	f.warmAfter = coldWarmAfter
	start := h.now
	rate := coldLoadShare * float64(2*limits.Slots) / float64(meanService)
	var queries []*coldQuery
	queryOf := map[model.QueryID]*coldQuery{}
	for h.now.Sub(start) < coldRunTime {
		q := &coldQuery{at: h.now.Sub(start)}
		draw := f.rng.Float64()
		for draw >= coldClasses[q.class] {
			q.class++
		}
		var subs []model.SubRequest
		for i := range coldShards {
			s := h.newSearch(i)
			s.Class = q.class
			s.Budget = budget
			queryOf[s.Query] = q
			subs = append(subs, s)
		}
		queries = append(queries, q)
		h.send(subs...)
		f.run(time.Duration(f.rng.ExpFloat64() / rate))
	}
	finish(f)
	for id, t := range h.subs {
		for _, r := range t.replies {
			queryOf[id].count(r.Outcome)
		}
	}
	return h, f, summarize(queries)
}

func (q *coldQuery) count(outcome model.OutcomeCode) {
	switch outcome {
	case model.OutcomeOK:
		q.answered++
	case model.OutcomeShed:
		q.shed++
	default:
		q.late++
	}
}

func summarize(queries []*coldQuery) coldResult {
	complete, end := 0, len(queries)
	for i, q := range queries {
		if q.answered == coldShards {
			complete++
		}
		if i >= warmWindow && queries[i-warmWindow].answered == coldShards {
			complete--
		}
		if i >= warmWindow-1 && complete >= warmWindow*99/100 {
			end = i + 1 - warmWindow
			break
		}
	}
	r := coldResult{warm: queries[min(end, len(queries)-1)].at}
	for _, q := range queries {
		if q.at >= coldPeriod {
			break
		}
		r.total[q.class]++
		r.answered[q.class] += q.answered
		switch {
		case q.late > 0:
			r.late[q.class]++
		case q.shed > 0:
			r.shed[q.class]++
		}
	}
	return r
}

// TestColdStartUnderLoad guards against overloaded cold servers, refused queries of the first
// class and a slow warm-up when all servers of a route start cold under load.
func TestColdStartUnderLoad(t *testing.T) {
	for _, budget := range []time.Duration{100 * ms, 250 * ms, time.Second} {
		t.Run(fmt.Sprint("budget=", budget), func(t *testing.T) {
			var sum coldResult
			for seed := range uint64(coldSeeds) {
				h, f, r := runColdStart(seed, budget)
				if f.crashes > 0 || len(h.violations.count) > 0 {
					t.Errorf("seed %d: %d crashes, %s", seed, f.crashes, h.violations.String())
				}
				sum.add(r)
			}
			t.Log(sum.String())
			is := is.New(t)
			is.True(sum.warm/coldSeeds < time.Second)
			is.Equal(sum.shed[0], 0)
			is.True(sum.answered[0] > sum.total[0]*coldShards*99/100)
		})
	}
}
