package dispatch

import (
	"cmp"
	"container/heap"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Config holds the settings of the reducer.
type Config struct {
	Self   model.VM
	Zone   model.AvailabilityZone
	Seed   uint64
	Budget BudgetConfig
	Cold   ColdConfig
	Canary model.RolloutLimit
}

// Validate returns an error for the first setting that is out of range.
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
	return c.Canary.Validate()
}

// State is the dispatch state of an entry VM: its view, its running queries and attempts, and
// its statistics of servers and routes.
type State struct {
	cfg  Config
	rng  *rand.Rand
	view *model.EntryView
	// unconfirmed is set after a pause of this VM. No request is sent until the view is confirmed.
	unconfirmed bool
	routes      *routeTable
	servers     map[serverKey]*serverStats
	limited     int // servers with a stated limit
	bound       int // servers with a limit, and those that rest or leave
	// noticesCountedAt is when limited and bound were counted.
	noticesCountedAt   model.Time
	loads              loads
	budgets            map[model.ReplicaSet]*budget
	latency            map[string]*latencies // by route name
	queries            map[model.QueryID]*query
	attempts           map[model.AttemptID]*attempt
	senders            map[model.VM]*sender
	canaries           map[model.ReplicaSet]*canary
	pairer             *moves.Pairer // pairs outcomes of the old and the new version while a rollout runs
	newest             newestConfig
	evidenceReportedAt model.Time      // time of the last ReportEvidence
	lastAttempt        model.AttemptID // ID of the newest attempt
	timers             timers
	wakeAt             model.Time // time of the pending Wake, 0 if there is none
	stopEnd            model.Time // when the VM stops serving; 0 unless it is stopping
	answerBy           model.Time // when all requests must be answered; model.Never unless it is stopping
	effects            []Effect
}

// New returns a state without a configuration: until the first ViewPublished it refuses all
// requests with CodeNotRun.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		view:     &model.EntryView{ServingVMs: 1},
		routes:   newRouteTable(nil),
		loads:    newLoads(),
		answerBy: model.Never,
		servers:  make(map[serverKey]*serverStats),
		budgets:  make(map[model.ReplicaSet]*budget),
		latency:  make(map[string]*latencies),
		queries:  make(map[model.QueryID]*query),
		attempts: make(map[model.AttemptID]*attempt),
		senders:  make(map[model.VM]*sender),
		canaries: make(map[model.ReplicaSet]*canary),
		pairer:   moves.NewRankingPairer(),
	}
}

// Reduce applies one event and returns the effects to carry out, in order. The slice is valid
// until the next call.
func (s *State) Reduce(ev Event, now model.Time) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case RequestReceived:
		s.handleRequest(ev, now)
	case CallerGone:
		s.callerGone(ev.Query)
	case AttemptEnded:
		s.attemptEnded(ev, now)
	case ForwardAccepted, ForwardDeclined, ForwardAnswered, ForwardLost:
		s.handleForwardEvent(ev, now)
	case ViewPublished:
		s.applyView(ev.View, now)
	case Resumed:
		s.unconfirmed = true
	case LoadsReceived:
		s.loadsReceived(ev)
	case StopStarted:
		s.startStop(ev)
	case Woken:
		s.wakeAt = 0
	}
	s.runTimers(now)
	s.reportEvidence(now)
	s.reportLoads(now)
	s.logExposure(now)
	s.requestWake()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) count(c Counter) { s.emit(Count{Counter: c}) }

func (s *State) log(level logline.Level, message string, q *query, fields ...logline.Field) {
	s.emit(Log{Line: logline.Line{Level: level, Message: message, Request: q.callerID, Fields: fields}})
}

// applyView replaces the view. It deletes the statistics of servers that are no longer in the view
// and have no running attempt, and the retry budgets without counts of replica sets that no route
// uses any more.
func (s *State) applyView(view *model.EntryView, now model.Time) {
	if view.Config != s.view.Config {
		s.routes = newRouteTable(view.Config)
	}
	s.view = view
	s.unconfirmed = view.Unconfirmed
	s.configArrived()
	s.applyRollouts(now)
	known := make(map[serverKey]bool)
	for _, set := range slices.Sorted(maps.Keys(view.Replicas)) {
		replicas := view.Replicas[set]
		s.logVersions(set, replicas)
		for i := range replicas {
			known[keyOf(&replicas[i])] = true
			s.statsOf(&replicas[i]).cold.observeRegistration(&replicas[i], now)
		}
	}
	for k, srv := range s.servers {
		if !known[k] && len(srv.running) == 0 && !srv.remembered(now) {
			delete(s.servers, k)
		}
	}
	for set := range s.budgets {
		if view.Config != nil && !s.routes.usesSet(set) {
			b := s.budgets[set]
			if b.total == (budgetCount{}) {
				delete(s.budgets, set)
			}
		}
	}
}

func (s *State) statsOf(r *model.Replica) *serverStats {
	k := keyOf(r)
	srv, ok := s.servers[k]
	if !ok {
		srv = newServerStats(s.cfg.Self, r.ID)
		s.servers[k] = srv
	}
	return srv
}

// sortedQueries returns the queries in order of ID, so that effects do not depend on the order
// of a map.
func (s *State) sortedQueries() []*query {
	queries := make([]*query, 0, len(s.queries))
	for _, q := range s.queries {
		queries = append(queries, q)
	}
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	return queries
}

// burst returns this VM's share of the burst of a retry budget. For gathered queries only
// senders have a share.
func (s *State) burst(r *route) float64 {
	if r.Gathers() && !s.view.IsSender {
		return 0
	}
	return s.cfg.Budget.Burst / float64(s.sendingVMs(r))
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
		q.wakeAt = model.Never
		heap.Fix(&s.timers, 0)
		s.wakeQuery(q, now)
	}
}

func (s *State) requestWake() {
	if len(s.timers) == 0 || s.timers[0].wakeAt == model.Never {
		return
	}
	if at := s.timers[0].wakeAt; s.wakeAt == 0 || at < s.wakeAt {
		s.wakeAt = at
		s.emit(Wake{At: at})
	}
}

// scheduleWake sets the time of the next wakeQuery call for a query.
func (s *State) scheduleWake(q *query, at model.Time) {
	if at == q.wakeAt {
		return
	}
	q.wakeAt = at
	heap.Fix(&s.timers, q.heapIndex)
}

// timers is a heap of queries, ordered by wakeAt.
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

// elapsed returns the time from a point in time to now, or 0 if that point is later than now.
func elapsed(now model.Time, from model.Time) time.Duration { return max(now.Sub(from), 0) }
