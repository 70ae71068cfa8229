package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// session sends random events to a State and checks its effects.
type session struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	state    *State
	now      model.Time
	wake     model.Time
	attempts map[model.AttemptID]Send
	queries  map[model.QueryID]*sessionQuery
	effects  []Effect
	view     *model.EntryView
}

// sessionQuery is a query of the session and its outcome so far.
type sessionQuery struct {
	nonIdempotent bool
	callerGone    bool
	answers       int
	mayHaveRun    bool                                                // an attempt may have run it
	servers       map[model.ReplicaSet]map[model.BackendServerID]bool // servers that it may have reached
}

const sessionAttempts = 2

func newSession(t *testing.T, seed uint64) *session {
	search, write := gatheredRoute(4, 0.5), singleRoute(false)
	search.MaxAttempts, write.MaxAttempts = sessionAttempts, sessionAttempts
	h := newHarness(t, search, write)
	for i := range 4 {
		h.addServers(model.ReplicaSet(fmt.Sprintf("set%d", i)), 3)
	}
	h.addServers("files", 4)
	h.view.IsSender = seed%2 == 0
	if seed%3 != 0 {
		h.view.Senders = []model.EntryVM{{Name: "large"}}
	}
	s := &session{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), state: h.state, now: start,
		attempts: make(map[model.AttemptID]Send), queries: make(map[model.QueryID]*sessionQuery),
	}
	s.view = h.view
	s.changeAddresses()
	return s
}

// moveServers gives all servers new addresses.
func (s *session) changeAddresses() {
	view := *s.view
	view.Replicas = make(map[model.ReplicaSet][]model.Replica)
	for set, replicas := range s.view.Replicas {
		for _, r := range replicas {
			r.Address = fmt.Sprintf("%s at %s", r.ID, time.Duration(s.now))
			view.Replicas[set] = append(view.Replicas[set], r)
		}
	}
	s.apply(ViewPublished{View: &view})
}

func (s *session) apply(ev Event) {
	for _, e := range s.state.Reduce(ev, s.now) {
		s.effects = append(s.effects, e)
		switch e := e.(type) {
		case Send:
			s.checkSend(e)
		case Abort:
			s.endAttempt(e.Attempt, Aborted)
		case Wake:
			s.wake = e.At
		case PassReply:
			s.checkAnswer(e.Query, false)
		case GatheredReply:
			s.checkAnswer(e.Query, false)
		case Refuse:
			s.checkAnswer(e.Query, e.Code == CodeNotRun)
		}
	}
}

func (s *session) checkSend(e Send) {
	q := s.queries[e.Query]
	s.attempts[e.Attempt] = e
	if q.nonIdempotent && q.mayHaveRun {
		s.t.Fatalf("seed %d: query %d is sent again although it may have run", s.seed, e.Query)
	}
	if q.answers > 0 {
		s.t.Fatalf("seed %d: query %d is sent after its answer", s.seed, e.Query)
	}
}

func (s *session) checkAnswer(id model.QueryID, notRun bool) {
	q := s.queries[id]
	q.answers++
	if q.answers > 1 || q.callerGone {
		s.t.Fatalf("seed %d: query %d is answered %d times (caller gone: %t)", s.seed, id, q.answers, q.callerGone)
	}
	if notRun && q.mayHaveRun {
		s.t.Fatalf("seed %d: query %d is refused as not run, although it may have run", s.seed, id)
	}
	if !notRun {
		return
	}
	for _, a := range s.attempts {
		if a.Query == id {
			s.t.Fatalf("seed %d: query %d is refused as not run while an attempt is running", s.seed, id)
		}
	}
}

// endAttempt ends a running attempt with the given outcome and checks the resulting effects.
func (s *session) endAttempt(id model.AttemptID, outcome Outcome) {
	a, ok := s.attempts[id]
	if !ok {
		return
	}
	delete(s.attempts, id)
	q := s.queries[a.Query]
	if outcome == Answered || outcome == Unclear || outcome == Aborted {
		q.mayHaveRun = true
	}
	if outcome != NotSent {
		if q.servers[a.Server.Set] == nil {
			q.servers[a.Server.Set] = make(map[model.BackendServerID]bool)
		}
		q.servers[a.Server.Set][a.Server.ID] = true
		if len(q.servers[a.Server.Set]) > sessionAttempts {
			s.t.Fatalf("seed %d: query %d reached %d servers of %s", s.seed, a.Query, len(q.servers[a.Server.Set]), a.Server.Set)
		}
	}
	ev := AttemptEnded{Attempt: id, Outcome: outcome}
	if outcome == Answered {
		status := 200
		if s.rng.IntN(10) == 0 {
			status = 500
		}
		ev.Reply = &Reply{Status: status, Signature: "s", Body: []byte("aaaaaaaaaaaaaaaa")}
	}
	s.apply(ev)
}

func (s *session) anyAttempt() (model.AttemptID, bool) {
	var ids []model.AttemptID
	for id := model.AttemptID(1); id <= s.state.lastAttempt; id++ {
		if _, ok := s.attempts[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return ids[s.rng.IntN(len(ids))], true
}

func (s *session) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(8)) * time.Millisecond)
	if s.wake != 0 && s.wake <= s.now {
		s.wake = 0
		s.apply(Woken{})
	}
	if s.rng.IntN(20) == 0 {
		s.changeAddresses()
	}
	switch s.rng.IntN(8) {
	case 0:
		s.request()
	case 1:
		id := model.QueryID(1 + s.rng.IntN(len(s.queries)+1))
		if q := s.queries[id]; q != nil && q.answers == 0 && s.rng.IntN(10) == 0 {
			q.callerGone = true
			s.apply(CallerGone{Query: id})
			s.checkAborted(id)
		}
	case 2:
		s.apply([]Event{
			ForwardAccepted{Query: model.QueryID(1 + s.rng.IntN(len(s.queries)+1))},
			ForwardDeclined{Query: model.QueryID(len(s.queries))},
			ForwardLost{VM: "large"},
		}[s.rng.IntN(3)])
	default:
		if id, ok := s.anyAttempt(); ok {
			s.endAttempt(id, []Outcome{Answered, Answered, Answered, Answered, NotSent, NotRun, Misdirected, Unclear}[s.rng.IntN(8)])
		}
	}
}

func (s *session) checkAborted(id model.QueryID) {
	for _, a := range s.attempts {
		if a.Query == id {
			s.t.Fatalf("seed %d: an attempt of query %d is running after its caller has left", s.seed, id)
		}
	}
}

func (s *session) request() {
	id := model.QueryID(len(s.queries) + 1)
	q := &sessionQuery{nonIdempotent: s.rng.IntN(2) == 0, servers: make(map[model.ReplicaSet]map[model.BackendServerID]bool)}
	s.queries[id] = q
	path := "/s/q"
	if q.nonIdempotent {
		path = "/r/q"
	}
	s.apply(RequestReceived{Query: id, Host: "shop.example", Path: path, CallerTimeout: time.Second})
}

// finish sends a few more requests, lets time pass without further answers, and checks that every
// query has been answered and no state is left.
func (s *session) finish() {
	s.changeAddresses()
	for range 6 {
		s.request()
	}
	for range 400 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.wake = 0
		s.apply(Woken{})
	}
	for id, q := range s.queries {
		if q.answers == 0 && !q.callerGone {
			s.t.Fatalf("seed %d: query %d has no answer", s.seed, id)
		}
	}
	if n := len(s.state.queries) + len(s.state.attempts) + len(s.state.timers); n != 0 {
		s.t.Fatalf("seed %d: %d entries are left at the end", s.seed, n)
	}
}

func playSession(t *testing.T, seed uint64, steps int) []Effect {
	s := newSession(t, seed)
	for range steps {
		s.step()
	}
	s.finish()
	return s.effects
}

// Guards against queries with no answer or with several, retries of requests that must not run
// twice, CodeNotRun for requests that may have run, attempts at too many servers, and state that is
// never freed.
func TestRandomSessions(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		playSession(t, seed, 1500)
	}
}

// Guards against effects that depend on the order of a map or on a clock: a repeated session must
// give the same effects.
func TestSessionsRepeat(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(playSession(t, seed, 800), playSession(t, seed, 800)) {
			t.Fatalf("seed %d: the second run differs", seed)
		}
	}
}
