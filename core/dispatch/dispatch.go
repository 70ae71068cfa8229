package dispatch

import (
	"cmp"
	"container/heap"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config are the settings of the reducer.
type Config struct {
	Self   model.VM
	Zone   model.AvailabilityZone
	Seed   uint64
	Budget BudgetConfig
	Cold   ColdConfig
	Canary CanaryConfig
}

// Validate reports the first setting that is out of its range.
func (c Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.New("dispatch: the name of the VM is empty")
	case c.Budget.Ratio < 0 || c.Budget.Burst < 0:
		return errors.New("dispatch: the retry budget is negative")
	case c.Cold.Factor < 0 || c.Cold.Slack < 0:
		return errors.New("dispatch: the bound for cold servers is negative")
	case c.Budget.Window < budgetSlot:
		return errors.New("dispatch: the window of the retry budget is too short")
	}
	return c.Canary.validate()
}

// State is the traffic state of an entry VM.
type State struct {
	cfg      Config
	rng      *rand.Rand
	view     *model.EntryView
	routes   *table
	servers  map[serverKey]*server
	budgets  map[model.ReplicaSet]*budget
	latency  map[string]*latencies // by the name of the route
	queries  map[model.QueryID]*query
	attempts map[model.AttemptID]*attempt
	senders  map[model.VM]*sender
	canaries map[model.ReplicaSet]*canary
	pairer   *moves.Pairer // of answers of two versions, while a rollout runs
	// seenVersion is the newest version of the configuration that a sender has answered with.
	seenVersion uint64
	reportedAt  model.Time // last report of the pairs
	next        model.AttemptID
	timers      timers
	wakeAt      model.Time // last Wake asked for, 0 for none
	stopEnd     model.Time // 0 unless the VM is stopping
	effects     []Effect
}

// New returns a state without a view: it refuses all requests as not run.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		view:     &model.EntryView{ServingVMs: 1},
		routes:   newTable(nil),
		servers:  make(map[serverKey]*server),
		budgets:  make(map[model.ReplicaSet]*budget),
		latency:  make(map[string]*latencies),
		queries:  make(map[model.QueryID]*query),
		attempts: make(map[model.AttemptID]*attempt),
		senders:  make(map[model.VM]*sender),
		canaries: make(map[model.ReplicaSet]*canary),
		pairer:   moves.NewPairer(),
	}
}

// Reduce applies one event and returns the effects to carry out, in order. The slice is valid
// until the next call.
func (s *State) Reduce(ev Event, now model.Time) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case RequestReceived:
		s.received(ev, now)
	case CallerGone:
		s.callerGone(ev.Query)
	case AttemptEnded:
		s.attemptEnded(ev, now)
	case ForwardAccepted, ForwardDeclined, ForwardAnswered, ForwardLost:
		s.forwardEnded(ev, now)
	case ViewPublished:
		s.publish(ev.View, now)
	case StopStarted:
		s.stopEnd = ev.End
	case Woken:
		s.wakeAt = 0
	}
	s.runTimers(now)
	s.reportEvidence(now)
	s.askWake()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) count(c Counter) { s.emit(Count{Counter: c}) }

func (s *State) log(level logline.Level, message string, q *query, fields ...logline.Field) {
	s.emit(Log{Line: logline.Line{Level: level, Message: message, Request: q.callerID, Fields: fields}})
}

// publish replaces the view. What was seen of servers that are gone is forgotten once no
// attempt runs on them.
func (s *State) publish(view *model.EntryView, now model.Time) {
	if view.Config != s.view.Config {
		s.routes = newTable(view.Config)
	}
	s.view = view
	s.publishRollouts(now)
	known := make(map[serverKey]bool)
	for _, replicas := range view.Replicas {
		for i := range replicas {
			known[keyOf(&replicas[i])] = true
			s.serverOf(&replicas[i]).cold.observeRegistration(&replicas[i], now)
		}
	}
	for k, srv := range s.servers {
		if !known[k] && len(srv.running) == 0 {
			delete(s.servers, k)
		}
	}
	for set := range s.budgets {
		if view.Config != nil && !s.routes.uses(set) {
			b := s.budgets[set]
			if b.total == (budgetCount{}) {
				delete(s.budgets, set)
			}
		}
	}
}

func (s *State) serverOf(r *model.Replica) *server {
	k := keyOf(r)
	srv, ok := s.servers[k]
	if !ok {
		srv = newServer(s.cfg.Self, r.ID)
		s.servers[k] = srv
	}
	return srv
}

// sortedQueries returns the queries in a fixed order.
func (s *State) sortedQueries() []*query {
	queries := make([]*query, 0, len(s.queries))
	for _, q := range s.queries {
		queries = append(queries, q)
	}
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	return queries
}

// burst returns this VM's part of the burst of a retry budget. Only senders repeat attempts
// of gathered queries beyond the ratio.
func (s *State) burst(r *route) float64 {
	if r.Gathers() && !s.view.IsSender {
		return 0
	}
	return s.cfg.Budget.Burst / float64(s.sharers(r))
}

func (s *State) budgetOf(set model.ReplicaSet) *budget {
	b, ok := s.budgets[set]
	if !ok {
		b = newBudget(s.cfg.Budget)
		s.budgets[set] = b
	}
	return b
}

func (s *State) latencyOf(route *model.EntryRoute, now model.Time) *latencies {
	l, ok := s.latency[route.Name]
	if !ok {
		l = newLatencies(route.Target, now)
		s.latency[route.Name] = l
	}
	return l
}

func (s *State) runTimers(now model.Time) {
	for len(s.timers) > 0 && s.timers[0].wakeAt <= now {
		q := s.timers[0]
		q.wakeAt = noWake
		heap.Fix(&s.timers, 0)
		s.wake(q, now)
	}
}

func (s *State) askWake() {
	if len(s.timers) == 0 || s.timers[0].wakeAt == noWake {
		return
	}
	if at := s.timers[0].wakeAt; s.wakeAt == 0 || at < s.wakeAt {
		s.wakeAt = at
		s.emit(Wake{At: at})
	}
}

// setWake schedules the next look at a query.
func (s *State) setWake(q *query, at model.Time) {
	if at == q.wakeAt {
		return
	}
	q.wakeAt = at
	heap.Fix(&s.timers, q.heapIndex)
}

// timers orders queries by the time of their next look.
type timers []*query

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].wakeAt < t[j].wakeAt }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

func (t *timers) Push(x any) {
	q := x.(*query)
	q.heapIndex = len(*t)
	*t = append(*t, q)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	q := (*t)[last]
	*t = (*t)[:last]
	return q
}

const noWake = model.Time(1<<63 - 1)

func until(t model.Time, now model.Time) time.Duration { return max(t.Sub(now), 0) }
