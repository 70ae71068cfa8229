// Package loadmodel compares ways to limit the load on backend servers with a discrete-event
// simulation. Several entry VMs send queries to all shards, in virtual time with a seeded random
// source. The policies with one owner per shard key run the real admission code.
package loadmodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// The service times are lognormal, and some attempts are stragglers.
const (
	serviceMedian   = 8 * time.Millisecond
	serviceSigma    = 0.5
	stragglerShare  = 0.01
	stragglerFactor = 10
)

// warmUpShare is the share of the queries, from the first one on, whose latency is not measured.
const warmUpShare = 0.1

// Setup describes one deployment and its load.
type Setup struct {
	Name     string
	Shards   int
	Replicas int
	Slots    int // slots of each backend server
	EntryVMs int
	HopDelay time.Duration
	Load     float64 // share of the slots that the needed attempts use, 0 to 1
	Queries  int
	Seed     uint64
}

// Result holds the measurements of one run.
type Result struct {
	P50, P99, P999 time.Duration // latency of whole queries
	ExtraLoad      float64       // attempts beyond one per shard and query, divided by the needed attempts
	MaxInFlight    int           // maximum number of attempts running or queued at once on one backend server
	Unanswered     int           // number of shards of queries that were not answered
}

// dispatcher sends a query to all shards and calls done once for each shard.
type dispatcher interface {
	query(entry int, done func(shard int, ok bool))
	attempts() int
}

type simulation struct {
	setup       Setup
	now         model.Time
	events      eventHeap
	sequence    uint64
	arrivalRand *rand.Rand
	serviceRand *rand.Rand
	replicaRand *rand.Rand
	servers     [][]*backend
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

func newSim(s Setup, shedsOverSlots bool) *simulation {
	m := &simulation{
		setup:       s,
		arrivalRand: rand.New(rand.NewPCG(s.Seed, 1)),
		serviceRand: rand.New(rand.NewPCG(s.Seed, 2)),
		replicaRand: rand.New(rand.NewPCG(s.Seed, 3)),
	}
	for range s.Shards {
		var replicas []*backend
		for range s.Replicas {
			replicas = append(replicas, &backend{sim: m, slots: s.Slots, shedsOverSlots: shedsOverSlots})
		}
		m.servers = append(m.servers, replicas)
	}
	return m
}

func (m *simulation) at(t model.Time, run func()) {
	m.sequence++
	heap.Push(&m.events, timedEvent{max(t, m.now), m.sequence, run})
}

func (m *simulation) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

// hopDelay returns the one-way network delay between two VMs.
func (m *simulation) hopDelay(from, to int) time.Duration {
	if from == to {
		return 0
	}
	return m.setup.HopDelay
}

func (m *simulation) randomServiceTime() time.Duration {
	d := float64(serviceMedian) * math.Exp(serviceSigma*m.serviceRand.NormFloat64())
	if m.serviceRand.Float64() < stragglerShare {
		d *= stragglerFactor
	}
	return time.Duration(d)
}

// meanInterval returns the mean time between queries, in nanoseconds, that gives the load of the setup.
func (m *simulation) meanInterval() float64 {
	mean := float64(serviceMedian) * math.Exp(serviceSigma*serviceSigma/2)
	mean *= 1 + stragglerShare*(stragglerFactor-1)
	return mean / (m.setup.Load * float64(m.setup.Replicas*m.setup.Slots))
}

// run sends all queries and returns the measurements.
func (m *simulation) run(d dispatcher) Result {
	var res Result
	var latencies []time.Duration
	arrival := 0.0
	for i := range m.setup.Queries {
		arrival += m.arrivalRand.ExpFloat64() * m.meanInterval()
		entry := m.arrivalRand.IntN(m.setup.EntryVMs)
		start := model.Time(arrival)
		m.at(start, func() {
			remaining := m.setup.Shards
			d.query(entry, func(_ int, ok bool) {
				if !ok {
					res.Unanswered++
				}
				remaining--
				if remaining == 0 && i >= int(warmUpShare*float64(m.setup.Queries)) {
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
	res.ExtraLoad = float64(d.attempts()-needed+res.Unanswered) / float64(needed)
	for _, shard := range m.servers {
		for _, b := range shard {
			res.MaxInFlight = max(res.MaxInFlight, b.maxInFlight)
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

// backend is a backend server. Attempts that exceed its slots are queued or shed.
type backend struct {
	sim            *simulation
	slots          int
	shedsOverSlots bool
	running        int
	queue          []*job
	maxInFlight    int
}

// job is one attempt on a backend server.
type job struct {
	service   time.Duration
	done      func(ok bool)
	backend   *backend
	running   bool
	finished  bool
	startedAt model.Time
}

// submit starts or queues an attempt. done is called when it ends, with false if it was shed.
func (b *backend) submit(done func(ok bool)) *job {
	j := &job{service: b.sim.randomServiceTime(), done: done, backend: b, startedAt: b.sim.now}
	b.maxInFlight = max(b.maxInFlight, b.running+len(b.queue)+1)
	if b.running >= b.slots && b.shedsOverSlots {
		j.finished = true
		b.sim.after(0, func() { done(false) })
		return j
	}
	b.queue = append(b.queue, j)
	b.startQueued()
	return j
}

func (b *backend) startQueued() {
	for b.running < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
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
		j.backend.queue = slices.DeleteFunc(j.backend.queue, func(o *job) bool { return o == j })
	}
	j.backend.startQueued()
}

// cancel ends an attempt at once, without calling done. It reports false if the attempt had already
// ended.
func (j *job) cancel() bool {
	if j.finished {
		return false
	}
	j.end()
	return true
}
