package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	testWindow = 10 * time.Second
	start      = model.Time(20 * time.Second) // later than a budget's window
)

// world drives a State by hand.
type world struct {
	t     *testing.T
	state *State
	now   model.Time
	view  *model.EntryView
	sends []Send
	seen  []Effect
	next  model.QueryID
	// onEvent, if set, sees each event with its effects.
	onEvent func(Event, []Effect)
}

func newWorld(t *testing.T, routes ...model.EntryRoute) *world {
	w := &world{
		t:   t,
		now: start,
		state: New(Config{
			Self:   "vm1",
			Budget: BudgetConfig{Ratio: 0.2, Burst: 50, Window: testWindow},
		}),
		view: &model.EntryView{
			Config:     &model.EntryConfig{Version: 3, Routes: routes},
			Replicas:   make(map[model.ReplicaSet][]model.Replica),
			ServingVMs: 5,
		},
	}
	return w
}

// servers registers n servers of a set.
func (w *world) servers(set model.ReplicaSet, n int) {
	for i := range n {
		id := model.BackendServerID(fmt.Sprintf("%s-%d", set, i))
		w.view.Replicas[set] = append(w.view.Replicas[set], model.Replica{ID: id, Set: set, Slots: 3})
	}
}

func (w *world) do(ev Event) []Effect {
	effects := append([]Effect(nil), w.state.Reduce(ev, w.now)...)
	w.seen = append(w.seen, effects...)
	if w.onEvent != nil {
		w.onEvent(ev, effects)
	}
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			w.sends = append(w.sends, s)
		}
	}
	return effects
}

// wait moves time on and wakes the state.
func (w *world) wait(d time.Duration) []Effect {
	w.now = w.now.Add(d)
	return w.do(Woken{})
}

func (w *world) request(path string) []Effect {
	w.do(ViewPublished{View: w.view})
	w.next++
	return w.do(RequestReceived{Query: w.next, CallerID: "r1", Host: "shop.example", Path: path, CallerTimeout: time.Second})
}

func (w *world) reply(s Send, body string) []Effect {
	return w.do(AttemptEnded{Attempt: s.Attempt, Outcome: Answered, Reply: &Reply{
		Status: 200, Body: []byte(body), Signature: "sig-" + string(s.Server.ID),
	}})
}

func (w *world) fail(s Send, outcome Outcome) []Effect {
	return w.do(AttemptEnded{Attempt: s.Attempt, Outcome: outcome, Cause: "test"})
}

// only returns the one effect of a type among effects.
func only[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	var found []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			found = append(found, v)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d effects of type %T, want 1, in %v", len(found), *new(T), effects)
	}
	return found[0]
}

func has[T Effect](effects []Effect) bool {
	for _, e := range effects {
		if _, ok := e.(T); ok {
			return true
		}
	}
	return false
}

func gathered(shards int, least float64) model.EntryRoute {
	r := model.EntryRoute{
		Name: "search", Host: "shop.example", PathPrefix: "/s/", Idempotent: true, Timeout: time.Second,
		Target: 200 * time.Millisecond, MaxAttempts: 2, TopK: 3, MinCoverage: least,
	}
	for i := range shards {
		r.Shards = append(r.Shards, model.ReplicaSet(fmt.Sprintf("set%d", i)))
	}
	return r
}

func single(idempotent bool) model.EntryRoute {
	return model.EntryRoute{
		Name: "read", Host: "shop.example", PathPrefix: "/r/", Idempotent: idempotent, Timeout: time.Second,
		Target: 200 * time.Millisecond, MaxAttempts: 2,
		Split: []model.WeightedSet{{Set: "files", Weight: 1}},
	}
}

// Guards against answers that lack shards although all have answered.
func TestCompleteAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, gathered(2, 0.5))
	w.servers("set0", 2)
	w.servers("set1", 2)
	w.request("/s/q")
	is.Equal(len(w.sends), 2)
	w.reply(w.sends[0], "bbbbbbbbbbbbbbbbdddddddddddddddd")
	g := only[GatheredReply](t, w.reply(w.sends[1], "ccccccccccccccccaaaaaaaaaaaaaaaarest"))
	is.Equal(g.Missing, 0)
	is.Equal(string(g.Body), "ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb")
	is.Equal(len(g.Signatures), 2)
}

// Guards against waiting past the objective for a straggler, and against a thin answer before.
func TestPartialAnswerAtTheObjective(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, gathered(2, 0.5))
	w.servers("set0", 1)
	w.servers("set1", 1)
	w.request("/s/q")
	is.True(!has[GatheredReply](w.reply(w.sends[0], "bbbbbbbbbbbbbbbb")))
	w.now = w.now.Add(150 * time.Millisecond)
	is.True(!has[GatheredReply](w.do(Woken{})))
	g := only[GatheredReply](t, w.wait(40*time.Millisecond))
	is.Equal(g.Missing, 1)
}

// Guards against a thin answer on a route with a short objective while more parts would come in
// time, and against one that is late.
func TestStopBeforeAShortObjective(t *testing.T) {
	is := is.New(t)
	route := gathered(2, 0.5)
	route.Target = 40 * time.Millisecond
	w := newWorld(t, route)
	w.servers("set0", 1)
	w.servers("set1", 1)
	w.request("/s/q")
	w.reply(w.sends[0], "bbbbbbbbbbbbbbbb")
	w.now = w.now.Add(24 * time.Millisecond)
	is.True(!has[GatheredReply](w.do(Woken{})))
	w.now = w.now.Add(4 * time.Millisecond)
	is.Equal(only[GatheredReply](t, w.do(Woken{})).Missing, 1)
}

// Guards against a success below the least coverage, and against holding a request back that
// can no longer succeed.
func TestTooThinIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, gathered(2, 0.9))
	w.servers("set0", 1)
	w.servers("set1", 1)
	w.request("/s/q")
	w.reply(w.sends[0], "bbbbbbbbbbbbbbbb")
	r := only[Refuse](t, w.fail(w.sends[1], Unclear))
	is.Equal(r.Code, CodeFailed) // a server has run a part: "not run" would be false
}

// Guards against running a request twice that must not be repeated.
func TestUnsafeIsNotRepeated(t *testing.T) {
	tests := []struct {
		outcome Outcome
		again   bool
		code    Code
	}{
		{Unclear, false, CodeFailed},
		{NotRun, true, 0},
		{NotSent, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.outcome.String(), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, single(false))
			w.servers("files", 3)
			w.request("/r/q")
			effects := w.fail(w.sends[0], tt.outcome)
			is.Equal(has[Send](effects), tt.again)
			if !tt.again {
				is.Equal(only[Refuse](t, effects).Code, tt.code)
			}
			w.wait(300 * time.Millisecond)
			is.True(len(w.sends) <= 2) // no hedge
		})
	}
}

// Guards against a "not run" for a request that a server has been working on.
func TestRefusalSaysNotRunOnlyIfTrue(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(false))
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNotRun) // no server
	w.servers("files", 1)
	w.request("/r/q")
	is.Equal(only[Refuse](t, w.wait(990*time.Millisecond)).Code, CodeTimeout) // still running
}

// Guards against handing on a status that promises "not run" from a server that may have run
// the request.
func TestServerStatusThatPromisesTooMuch(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		is := is.New(t)
		w := newWorld(t, single(false))
		w.servers("files", 1)
		w.request("/r/q")
		r := only[Refuse](t, w.do(AttemptEnded{Attempt: w.sends[0].Attempt, Outcome: Answered,
			Reply: &Reply{Status: status, Signature: "sig"}}))
		is.Equal(r.Code, CodeFailed)
	}
}

// Guards against a 404 while no configuration is known.
func TestUnknownConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(true))
	w.view.Config = nil
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNotRun)
	w.view.Config = &model.EntryConfig{Version: 1}
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNoRoute)
}

// Guards against waiting for a paused server while another one could answer.
func TestHedge(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, gathered(1, 1))
	w.servers("set0", 2)
	for range 60 { // latencies, and requests that fill the budget
		w.request("/s/q")
		w.now = w.now.Add(10 * time.Millisecond)
		w.reply(w.sends[len(w.sends)-1], "bbbbbbbbbbbbbbbb")
	}
	before := len(w.sends)
	w.request("/s/q")
	w.wait(40 * time.Millisecond)
	is.Equal(len(w.sends), before+2)
	is.True(w.sends[before].Server.ID != w.sends[before+1].Server.ID)
	g := only[GatheredReply](t, w.reply(w.sends[before+1], "cccccccccccccccc"))
	is.Equal(g.Signatures, []string{"sig-" + string(w.sends[before+1].Server.ID)})
	// The late reply of the first server belongs to nobody.
	is.True(!has[GatheredReply](w.reply(w.sends[before], "bbbbbbbbbbbbbbbb")))
}

// Guards against attempts that go on after the caller has left.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, gathered(2, 0.5))
	w.servers("set0", 1)
	w.servers("set1", 1)
	w.request("/s/q")
	effects := w.do(CallerGone{Query: w.next})
	aborts := 0
	for _, e := range effects {
		if _, ok := e.(Abort); ok {
			aborts++
		}
	}
	is.Equal(aborts, 2)
	for _, s := range w.sends {
		w.fail(s, Aborted)
	}
	is.Equal(len(w.state.queries), 0)
	is.Equal(len(w.state.attempts), 0)
}

// Guards against requests that are taken shortly before the process ends.
func TestStopping(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(true))
	w.servers("files", 1)
	w.do(StopStarted{End: w.now.Add(time.Second)})
	is.True(has[Send](w.request("/r/q")))
	w.now = w.now.Add(time.Second)
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNotRun)
}

// Guards against a request that is matched by a shorter prefix or by another host.
func TestRoutes(t *testing.T) {
	routes := []model.EntryRoute{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}
	table := newTable(&model.EntryConfig{Routes: routes})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		is := is.New(t)
		name := ""
		if r := table.find(tt.host, tt.path); r != nil {
			name = r.Name
		}
		is.Equal(name, tt.want)
	}
}

// Guards against shares that miss the weights of a split in a short run of requests.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &route{EntryRoute: &model.EntryRoute{Split: []model.WeightedSet{{Set: "a", Weight: 3}, {Set: "b", Weight: 1}}}, credit: make([]float64, 2)}
	counts := make(map[model.ReplicaSet]int)
	for range 40 {
		counts[r.choose()]++
	}
	is.Equal(counts["a"], 30)
	is.Equal(counts["b"], 10)
}

// Guards against more connections to a server than it takes, which it resets, and against
// giving a request up that could run a moment later.
func TestStaysWithinConnections(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(true))
	w.servers("files", 1)
	w.view.ServingVMs = 4
	w.view.Config.Sets = map[model.ReplicaSet]model.SetConfig{"files": {MaxConns: 10}}
	for range 3 {
		w.request("/r/q")
	}
	is.Equal(len(w.sends), 2) // 0.8 x 10 / 4
	w.reply(w.sends[0], "x")
	w.wait(busyPause)
	is.Equal(len(w.sends), 3)
	is.Equal(w.sends[2].Query, model.QueryID(3))
}

// Guards against sending on to an address that another server has taken over: each such
// request also counts as a repeat at that server's set.
func TestAddressOfAnotherServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(true))
	w.servers("files", 1)
	w.view.Replicas["files"][0].Address = "10.0.0.1:80"
	w.request("/r/q")
	w.fail(w.sends[0], Misdirected)
	w.now = w.now.Add(5 * time.Second)
	is.Equal(only[Refuse](t, w.request("/r/q")).Code, CodeNotRun)
	w.view.Replicas["files"][0].Address = "10.0.0.2:80" // it has moved
	is.True(has[Send](w.request("/r/q")))
}

// Guards against a request that waits to its deadline for servers that cannot be reached while
// others can: those do not count as attempts.
func TestUnreachableServers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, single(false))
	w.servers("files", 4)
	w.request("/r/q")
	for i := range maxUnreachable {
		w.fail(w.sends[i], NotSent)
		is.Equal(len(w.sends), i+2)
	}
	is.True(has[PassReply](w.reply(w.sends[maxUnreachable], "x")))
}
