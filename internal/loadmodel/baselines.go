package loadmodel

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Hedging of the baselines, as the defaults of package admission.
const (
	hedgeQuantile = 0.95
	hedgeBudget   = 0.03
	hedgeBurst    = 10
	hedgeSamples  = 128
	retryPause    = time.Millisecond // before a shed attempt is sent again; doubles
	maxRetryPause = 16 * time.Millisecond
)

// window measures the hedge delay over the latest latencies.
type window struct {
	samples []time.Duration
	next    int
	age     int
	delay   time.Duration
	tokens  float64
}

func (w *window) add(d time.Duration) {
	w.age++
	if len(w.samples) < hedgeSamples {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % hedgeSamples
	}
	if len(w.samples) >= 32 && (w.delay == 0 || w.age >= 16) {
		sorted := slices.Sorted(slices.Values(w.samples))
		w.delay = quantile(sorted, hedgeQuantile)
		w.age = 0
	}
}

func (w *window) earn() { w.tokens = min(w.tokens+hedgeBudget, hedgeBurst) }

func (w *window) spend() bool {
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// pool bounds the attempts of one VM to some backend servers, with a FIFO queue.
type pool struct {
	sim     *sim
	learns  bool
	hedges  bool
	servers []*pooled
	queue   []*task
	latency window
	sent    *int
}

// pooled is one backend server as a pool sees it.
type pooled struct {
	backend  *backend
	inFlight int
	limit    float64
	most     float64
}

// task is the part of a query for one shard.
type task struct {
	done     func()
	jobs     []*job    // not shed
	on       []*pooled // servers of jobs
	started  int
	finished bool
}

func newPool(m *sim, backends []*backend, limit int, sent *int) *pool {
	p := &pool{sim: m, hedges: true, sent: sent}
	for _, b := range backends {
		p.servers = append(p.servers, &pooled{backend: b, limit: float64(limit), most: float64(limit)})
	}
	return p
}

func (p *pool) submit(t *task) {
	p.queue = append(p.queue, t)
	p.pump()
}

func (p *pool) pump() {
	for len(p.queue) > 0 {
		s := p.idle(nil)
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

// idle returns the server with the lowest ratio of in flight to limit and a free slot.
func (p *pool) idle(except []*pooled) *pooled {
	var best *pooled
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

func (p *pool) start(t *task, s *pooled) {
	*p.sent++
	if t.started == 0 {
		p.latency.earn()
	}
	t.started++
	s.inFlight++
	t.on = append(t.on, s)
	startedAt := p.sim.now
	j := s.backend.submit(func(ok bool) { p.ended(t, s, startedAt, ok) })
	t.jobs = append(t.jobs, j)
	if p.hedges && len(p.servers) > 1 && p.latency.delay > 0 {
		p.sim.after(p.latency.delay, func() { p.hedge(t, j) })
	}
}

func (p *pool) hedge(t *task, j *job) {
	if t.finished || j.finished || len(t.on) > 1 || len(p.queue) > 0 {
		return
	}
	if s := p.idle(t.on); s != nil && p.latency.spend() {
		p.start(t, s)
	}
}

func (p *pool) ended(t *task, s *pooled, startedAt model.Time, ok bool) {
	s.inFlight--
	if !ok {
		s.limit = max(1, s.limit/2)
		i := slices.Index(t.on, s)
		t.on = slices.Delete(t.on, i, i+1)
		t.jobs = slices.Delete(t.jobs, i, i+1)
		if len(t.jobs) == 0 && !t.finished {
			p.sim.after(min(maxRetryPause, retryPause<<min(t.started-1, 8)), func() {
				p.queue = slices.Insert(p.queue, 0, t)
				p.pump()
			})
		}
		return
	}
	p.latency.add(p.sim.now.Sub(startedAt))
	if p.learns {
		s.limit = min(s.most, s.limit+1/s.limit)
	}
	if !t.finished {
		p.finish(t)
	}
	p.pump()
}

// finish answers a task and cancels its other attempts, whose slots are free at once.
func (p *pool) finish(t *task) {
	t.finished = true
	for i, j := range t.jobs {
		if j.cancel() {
			p.latency.add(p.sim.now.Sub(j.startedAt))
			t.on[i].inFlight--
		}
	}
	t.done()
}

// perVM holds a pool for each VM and shard: every VM bounds its own attempts.
type perVM struct {
	pools [][]*pool
	sent  int
}

func newPerVM(m *sim, limit int, learns bool) *perVM {
	d := &perVM{}
	for range m.setup.Entries {
		var pools []*pool
		for _, backends := range m.servers {
			p := newPool(m, backends, limit, &d.sent)
			p.learns = learns
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

// perServer has one owner for each backend server. The entry VM chooses the replica
// without knowing its queue, and hedges from the time of sending.
type perServer struct {
	sim     *sim
	owners  [][]*pool
	entries [][]*entryState
	sent    int
}

type entryState struct {
	outstanding []int
	latency     window
}

func newPerServer(m *sim) *perServer {
	d := &perServer{sim: m}
	for _, backends := range m.servers {
		var owners []*pool
		for _, b := range backends {
			owners = append(owners, newPool(m, []*backend{b}, m.setup.Slots, &d.sent))
		}
		d.owners = append(d.owners, owners)
	}
	for range m.setup.Entries {
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
		p.begin()
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
	to           []int
}

func (t *perServerTask) state() *entryState { return t.d.entries[t.entry][t.shard] }

func (t *perServerTask) begin() {
	st := t.state()
	st.latency.earn()
	first := t.d.sim.choice.IntN(len(st.outstanding))
	for i, n := range st.outstanding {
		if n < st.outstanding[first] {
			first = i
		}
	}
	t.send(first)
	if st.latency.delay == 0 {
		return
	}
	t.d.sim.after(st.latency.delay, func() {
		if !t.finished && len(st.outstanding) > 1 && st.latency.spend() {
			t.send((first + 1) % len(st.outstanding))
		}
	})
}

// hop returns the time to the owner of a replica.
func (t *perServerTask) hop(replica int) time.Duration {
	m := t.d.sim
	return m.hop(t.entry, (t.shard*m.setup.Replicas+replica)%m.setup.Entries)
}

func (t *perServerTask) send(replica int) {
	m := t.d.sim
	t.state().outstanding[replica]++
	sub := &task{}
	sub.done = func() { m.after(t.hop(replica), t.reply) }
	t.sent = append(t.sent, sub)
	t.to = append(t.to, replica)
	m.after(t.hop(replica), func() { t.d.owners[t.shard][replica].submit(sub) })
}

func (t *perServerTask) reply() {
	if t.finished {
		return
	}
	t.finished = true
	st := t.state()
	st.latency.add(t.d.sim.now.Sub(t.sentAt))
	for i, sub := range t.sent {
		replica := t.to[i]
		st.outstanding[replica]--
		t.d.sim.after(t.hop(replica), func() { t.d.owners[t.shard][replica].withdraw(sub) })
	}
	t.done(t.shard, true)
}

// withdraw drops a queued task or cancels its attempt.
func (p *pool) withdraw(t *task) {
	if t.finished {
		return
	}
	t.done = func() {}
	p.finish(t)
	p.pump()
}
