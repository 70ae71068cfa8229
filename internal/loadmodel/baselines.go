package loadmodel

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Hedging parameters of the baselines. They equal the defaults of package admission.
const (
	hedgeQuantile = 0.95
	hedgeBudget   = 0.03
	hedgeBurst    = 10
	hedgeSamples  = 128
	retryDelay    = time.Millisecond // delay before the first retry of a shed attempt; doubles with each retry
	maxRetryDelay = 16 * time.Millisecond
)

// latencyWindow calculates the hedge delay from the latest latencies and holds the hedge budget.
type latencyWindow struct {
	samples            []time.Duration
	next               int
	samplesSinceUpdate int
	hedgeDelay         time.Duration
	tokens             float64
}

func (w *latencyWindow) add(d time.Duration) {
	w.samplesSinceUpdate++
	if len(w.samples) < hedgeSamples {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % hedgeSamples
	}
	if len(w.samples) >= 32 && (w.hedgeDelay == 0 || w.samplesSinceUpdate >= 16) {
		sorted := slices.Sorted(slices.Values(w.samples))
		w.hedgeDelay = quantile(sorted, hedgeQuantile)
		w.samplesSinceUpdate = 0
	}
}

func (w *latencyWindow) earnToken() { w.tokens = min(w.tokens+hedgeBudget, hedgeBurst) }

func (w *latencyWindow) spendToken() bool {
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// pool limits the attempts of one VM to a group of backend servers. Tasks wait in a FIFO queue.
type pool struct {
	sim      *simulation
	adaptive bool
	hedges   bool
	servers  []*poolServer
	queue    []*task
	latency  latencyWindow
	sent     *int
}

// poolServer is the state that a pool keeps for one backend server.
type poolServer struct {
	backend  *backend
	inFlight int
	limit    float64
	maxLimit float64
}

// task is the part of a query for one shard.
type task struct {
	done     func()
	jobs     []*job        // attempts that were not shed
	servers  []*poolServer // the server of each job
	attempts int
	finished bool
}

func newPool(m *simulation, backends []*backend, limit int, sent *int) *pool {
	p := &pool{sim: m, hedges: true, sent: sent}
	for _, b := range backends {
		p.servers = append(p.servers, &poolServer{backend: b, limit: float64(limit), maxLimit: float64(limit)})
	}
	return p
}

func (p *pool) submit(t *task) {
	p.queue = append(p.queue, t)
	p.startQueued()
}

func (p *pool) startQueued() {
	for len(p.queue) > 0 {
		s := p.pickServer(nil)
		if s == nil {
			return
		}
		t := p.queue[0]
		p.queue = p.queue[1:]
		if t.finished {
			continue
		}
		p.start(t, s)
	}
}

// pickServer returns the server with the lowest ratio of attempts in flight to limit, or nil if every
// server is at its limit or excepted.
func (p *pool) pickServer(except []*poolServer) *poolServer {
	var best *poolServer
	for _, s := range p.servers {
		if s.inFlight >= int(s.limit) || slices.Contains(except, s) {
			continue
		}
		if best == nil || float64(s.inFlight)/s.limit < float64(best.inFlight)/best.limit {
			best = s
		}
	}
	return best
}

func (p *pool) start(t *task, s *poolServer) {
	*p.sent++
	if t.attempts == 0 {
		p.latency.earnToken()
	}
	t.attempts++
	s.inFlight++
	t.servers = append(t.servers, s)
	startedAt := p.sim.now
	j := s.backend.submit(func(ok bool) { p.attemptDone(t, s, startedAt, ok) })
	t.jobs = append(t.jobs, j)
	if p.hedges && len(p.servers) > 1 && p.latency.hedgeDelay > 0 {
		p.sim.after(p.latency.hedgeDelay, func() { p.hedge(t, j) })
	}
}

func (p *pool) hedge(t *task, j *job) {
	if t.finished || j.finished || len(t.servers) > 1 || len(p.queue) > 0 {
		return
	}
	if s := p.pickServer(t.servers); s != nil && p.latency.spendToken() {
		p.start(t, s)
	}
}

func (p *pool) attemptDone(t *task, s *poolServer, startedAt model.Time, ok bool) {
	s.inFlight--
	if !ok {
		s.limit = max(1, s.limit/2)
		i := slices.Index(t.servers, s)
		t.servers = slices.Delete(t.servers, i, i+1)
		t.jobs = slices.Delete(t.jobs, i, i+1)
		if len(t.jobs) == 0 && !t.finished {
			p.sim.after(min(maxRetryDelay, retryDelay<<min(t.attempts-1, 8)), func() {
				p.queue = slices.Insert(p.queue, 0, t)
				p.startQueued()
			})
		}
		return
	}
	p.latency.add(p.sim.now.Sub(startedAt))
	if p.adaptive {
		s.limit = min(s.maxLimit, s.limit+1/s.limit)
	}
	if !t.finished {
		p.finish(t)
	}
	p.startQueued()
}

// finish completes a task and cancels its other attempts. Their slots are free at once.
func (p *pool) finish(t *task) {
	t.finished = true
	for i, j := range t.jobs {
		if j.cancel() {
			p.latency.add(p.sim.now.Sub(j.startedAt))
			t.servers[i].inFlight--
		}
	}
	t.done()
}

// perVM has a pool for each VM and shard: every VM limits only its own attempts.
type perVM struct {
	pools [][]*pool
	sent  int
}

func newPerVM(m *simulation, limit int, adaptive bool) *perVM {
	d := &perVM{}
	for range m.setup.EntryVMs {
		var pools []*pool
		for _, backends := range m.servers {
			p := newPool(m, backends, limit, &d.sent)
			p.adaptive = adaptive
			pools = append(pools, p)
		}
		d.pools = append(d.pools, pools)
	}
	return d
}

func (d *perVM) attempts() int { return d.sent }

func (d *perVM) query(entry int, done func(int, bool)) {
	for shard, p := range d.pools[entry] {
		p.submit(&task{done: func() { done(shard, true) }})
	}
}

// perServer has one owner for each backend server. The entry VM chooses the replica without knowing
// its queue. Its hedge delay starts when it sends the task.
type perServer struct {
	sim     *simulation
	owners  [][]*pool
	entries [][]*entryState
	sent    int
}

// entryState is what an entry VM knows about the replicas of one shard.
type entryState struct {
	outstanding []int
	latency     latencyWindow
}

func newPerServer(m *simulation) *perServer {
	d := &perServer{sim: m}
	for _, backends := range m.servers {
		var owners []*pool
		for _, b := range backends {
			owners = append(owners, newPool(m, []*backend{b}, m.setup.Slots, &d.sent))
		}
		d.owners = append(d.owners, owners)
	}
	for range m.setup.EntryVMs {
		var states []*entryState
		for range m.servers {
			states = append(states, &entryState{outstanding: make([]int, m.setup.Replicas)})
		}
		d.entries = append(d.entries, states)
	}
	return d
}

func (d *perServer) attempts() int { return d.sent }

func (d *perServer) query(entry int, done func(int, bool)) {
	for shard := range d.owners {
		p := &perServerTask{d: d, entry: entry, shard: shard, done: done, sentAt: d.sim.now}
		p.start()
	}
}

// perServerTask is the part of a query for one shard at its entry VM.
type perServerTask struct {
	d            *perServer
	entry, shard int
	done         func(int, bool)
	sentAt       model.Time
	finished     bool
	sent         []*task
	replicas     []int
}

func (t *perServerTask) state() *entryState { return t.d.entries[t.entry][t.shard] }

func (t *perServerTask) start() {
	st := t.state()
	st.latency.earnToken()
	first := t.d.sim.replicaRand.IntN(len(st.outstanding))
	for i, n := range st.outstanding {
		if n < st.outstanding[first] {
			first = i
		}
	}
	t.send(first)
	if st.latency.hedgeDelay == 0 {
		return
	}
	t.d.sim.after(st.latency.hedgeDelay, func() {
		if !t.finished && len(st.outstanding) > 1 && st.latency.spendToken() {
			t.send((first + 1) % len(st.outstanding))
		}
	})
}

// hopDelay returns the network delay between the entry VM and the owner of a replica.
func (t *perServerTask) hopDelay(replica int) time.Duration {
	m := t.d.sim
	return m.hopDelay(t.entry, (t.shard*m.setup.Replicas+replica)%m.setup.EntryVMs)
}

func (t *perServerTask) send(replica int) {
	m := t.d.sim
	t.state().outstanding[replica]++
	sub := &task{}
	sub.done = func() { m.after(t.hopDelay(replica), t.reply) }
	t.sent = append(t.sent, sub)
	t.replicas = append(t.replicas, replica)
	m.after(t.hopDelay(replica), func() { t.d.owners[t.shard][replica].submit(sub) })
}

func (t *perServerTask) reply() {
	if t.finished {
		return
	}
	t.finished = true
	st := t.state()
	st.latency.add(t.d.sim.now.Sub(t.sentAt))
	for i, sub := range t.sent {
		replica := t.replicas[i]
		st.outstanding[replica]--
		t.d.sim.after(t.hopDelay(replica), func() { t.d.owners[t.shard][replica].withdraw(sub) })
	}
	t.done(t.shard, true)
}

// withdraw removes a task from the queue or cancels its attempt, without calling its callback.
func (p *pool) withdraw(t *task) {
	if t.finished {
		return
	}
	t.done = func() {}
	p.finish(t)
	p.startQueued()
}
