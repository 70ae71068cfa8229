// Package loadmodel compares ways to bound the load on backend servers by an event model:
// whole queries over all shards, from several entry VMs, in seeded virtual time. The
// variant with one owner per shard key runs the real admission code.
package loadmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Service times of the model: lognormal, and some attempts are stragglers.
const (
	serviceMedian  = 8 * time.Millisecond
	serviceSigma   = 0.5
	stragglerShare = 0.01
	stragglerTimes = 10
)

// warmUpShare is the first part of the queries, which is not measured.
const warmUpShare = 0.1

// Setup describes one deployment and its load.
type Setup struct {
	Name     string
	Shards   int
	Replicas int
	Slots    int // of each backend server
	Entries  int // entry VMs
	Hop      time.Duration
	Load     float64 // share of the slots that the needed attempts keep busy
	Queries  int
	Seed     uint64
}

// Result is the outcome of one run.
type Result struct {
	P50, P99, P999 time.Duration // of whole queries
	Extra          float64       // attempts beyond one per shard, per needed attempt
	MaxInFlight    int           // most attempts at once on one backend server
	Missed         int           // shards without an answer
}

// dispatcher sends the part of a query for one shard and calls done once.
type dispatcher interface {
	query(entry int, done func(shard int, ok bool))
	attempts() int
}

type sim struct {
	setup    Setup
	now      model.Time
	events   eventHeap
	sequence uint64
	arrivals *rand.Rand
	service  *rand.Rand
	choice   *rand.Rand
	servers  [][]*backend
}

type timedEvent struct {
	at       model.Time
	sequence uint64
	run      func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSim(s Setup, sheds bool) *sim {
	m := &sim{
		setup:    s,
		arrivals: rand.New(rand.NewPCG(s.Seed, 1)),
		service:  rand.New(rand.NewPCG(s.Seed, 2)),
		choice:   rand.New(rand.NewPCG(s.Seed, 3)),
	}
	for range s.Shards {
		var replicas []*backend
		for range s.Replicas {
			replicas = append(replicas, &backend{sim: m, slots: s.Slots, sheds: sheds})
		}
		m.servers = append(m.servers, replicas)
	}
	return m
}

func (m *sim) at(t model.Time, run func()) {
	m.sequence++
	heap.Push(&m.events, timedEvent{max(t, m.now), m.sequence, run})
}

func (m *sim) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

// hop returns the network time between two VMs.
func (m *sim) hop(from, to int) time.Duration {
	if from == to {
		return 0
	}
	return m.setup.Hop
}

func (m *sim) drawService() time.Duration {
	d := float64(serviceMedian) * math.Exp(serviceSigma*m.service.NormFloat64())
	if m.service.Float64() < stragglerShare {
		d *= stragglerTimes
	}
	return time.Duration(d)
}

// interval is the mean time between queries that gives the wanted load.
func (m *sim) interval() float64 {
	mean := float64(serviceMedian) * math.Exp(serviceSigma*serviceSigma/2)
	mean *= 1 + stragglerShare*(stragglerTimes-1)
	return mean / (m.setup.Load * float64(m.setup.Replicas*m.setup.Slots))
}

// run sends all queries and returns what was measured.
func (m *sim) run(d dispatcher) Result {
	var res Result
	var latencies []time.Duration
	arrival := 0.0
	for i := range m.setup.Queries {
		arrival += m.arrivals.ExpFloat64() * m.interval()
		entry := m.arrivals.IntN(m.setup.Entries)
		start := model.Time(arrival)
		m.at(start, func() {
			left := m.setup.Shards
			d.query(entry, func(_ int, ok bool) {
				if !ok {
					res.Missed++
				}
				left--
				if left == 0 && i >= int(warmUpShare*float64(m.setup.Queries)) {
					latencies = append(latencies, m.now.Sub(start))
				}
			})
		})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(timedEvent)
		m.now = e.at
		e.run()
	}
	slices.Sort(latencies)
	res.P50, res.P99, res.P999 = quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999)
	needed := m.setup.Queries * m.setup.Shards
	res.Extra = float64(d.attempts()-needed+res.Missed) / float64(needed)
	for _, shard := range m.servers {
		for _, b := range shard {
			res.MaxInFlight = max(res.MaxInFlight, b.most)
		}
	}
	return res
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// backend is one backend server. Attempts above its slots wait in it or are shed.
type backend struct {
	sim     *sim
	slots   int
	sheds   bool
	running int
	waiting []*job
	most    int
}

// job is one attempt at a backend server.
type job struct {
	service   time.Duration
	done      func(ok bool)
	backend   *backend
	running   bool
	finished  bool
	startedAt model.Time
}

// submit starts an attempt; done is called at its end, false if it was shed.
func (b *backend) submit(done func(ok bool)) *job {
	j := &job{service: b.sim.drawService(), done: done, backend: b, startedAt: b.sim.now}
	b.most = max(b.most, b.running+len(b.waiting)+1)
	if b.running >= b.slots && b.sheds {
		j.finished = true
		b.sim.after(0, func() { done(false) })
		return j
	}
	b.waiting = append(b.waiting, j)
	b.next()
	return j
}

func (b *backend) next() {
	for b.running < b.slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		j.running = true
		b.running++
		b.sim.after(j.service, func() {
			if !j.finished {
				j.end()
				j.done(true)
			}
		})
	}
}

func (j *job) end() {
	j.finished = true
	if j.running {
		j.backend.running--
	} else {
		j.backend.waiting = slices.DeleteFunc(j.backend.waiting, func(o *job) bool { return o == j })
	}
	j.backend.next()
}

// cancel withdraws an attempt at once, without a call of done. It reports whether there
// was something to withdraw.
func (j *job) cancel() bool {
	if j.finished {
		return false
	}
	j.end()
	return true
}
