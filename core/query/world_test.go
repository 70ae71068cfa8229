package query_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/query"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// world is a fake owner layer in virtual time with seeded faults. It knows what ran, what was
// delivered and what each snapshot holds, and checks every reply to a caller against that.
type world struct {
	*driver
	rng    *rand.Rand
	queue  []task // by time, then in the order of after
	shards int
	epoch  uint64 // as the owners have it; the view lags

	alive  map[model.VM]bool
	boots  map[model.VM]model.Boot
	owners map[model.ShardKey]model.VM
	ranges map[model.ShardKey][2]model.Snapshot

	callers   map[model.QueryID]*caller
	cancelled map[event.Cancel]bool
	problems  []string
}

// caller is what the world knows of one request.
type caller struct {
	model.Request
	received model.Time
	replied  bool
	notRun   bool
	ran      int
	runs     []uint32
	last     model.SubRequest // latest sub-request, for the epoch and version of the last run
	got      map[delivery]bool
}

// delivery is one reply as it reached the entry daemon.
type delivery struct {
	run      uint32
	shard    model.ShardID
	outcome  model.OutcomeCode
	snapshot model.Snapshot
}

type task struct {
	at model.Time
	do func()
}

const worldRequests = 30

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 2)), epoch: 1,
		alive: map[model.VM]bool{}, boots: map[model.VM]model.Boot{},
		owners: map[model.ShardKey]model.VM{}, ranges: map[model.ShardKey][2]model.Snapshot{},
		callers: map[model.QueryID]*caller{}, cancelled: map[event.Cancel]bool{},
	}
	w.shards = 2 + w.rng.IntN(5)
	for _, vm := range testVMs {
		w.alive[vm], w.boots[vm] = true, 1
	}
	for _, version := range []model.VersionID{"v1", "v2"} {
		for i := range w.shards {
			key := testKey(version, i)
			w.owners[key] = testVMs[i%len(testVMs)]
			w.ranges[key] = [2]model.Snapshot{3, 5 + model.Snapshot(w.rng.IntN(2))}
		}
	}
	w.driver = newDriver(seed, w.currentView())
	w.driver.seen = w.effect
	for i := range worldRequests {
		w.after(w.upTo(600*ms), func() { w.send(model.QueryID(i + 1)) })
	}
	for range 12 {
		w.after(w.upTo(600*ms), w.disturb)
	}
	return w
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("at %v: ", time.Duration(w.now))+fmt.Sprintf(format, args...))
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > at })
	w.queue = slices.Insert(w.queue, i, task{at, do})
}

// run plays all tasks and wakes until nothing is left.
func (w *world) run() {
	for step := 0; step < 100_000; step++ {
		wake := w.table.NextWake()
		if len(w.queue) == 0 && wake == model.Never {
			break
		}
		if len(w.queue) == 0 || wake <= w.queue[0].at {
			w.now = max(w.now, wake)
			w.apply(event.Wake{})
		} else {
			next := w.queue[0]
			w.queue = w.queue[1:]
			w.now = next.at
			next.do()
		}
		w.checkState()
	}
	if len(w.replies) != worldRequests {
		w.problem("%d of %d requests have a reply", len(w.replies), worldRequests)
	}
}

func (w *world) checkState() {
	open := len(w.callers) - len(w.replies)
	if w.table.Running() != open || open > 0 && w.table.NextWake() == model.Never {
		w.problem("%d queries run, %d are open, next wake at %v", w.table.Running(), open, w.table.NextWake())
	}
}

func (w *world) send(id model.QueryID) {
	r := model.Request{
		Query: id, Route: testRoute, Budget: 20*ms + w.upTo(200*ms),
		MinCoverage: []float64{-1, 0, 0.5, 1}[w.rng.IntN(4)], Limit: w.rng.IntN(3) * 4,
	}
	switch p := w.rng.IntN(100); {
	case p < 30:
		r.Kind, r.Shard, r.Key, r.Repeat = model.KindSubmit, shardName(w.rng.IntN(w.shards)), fmt.Sprint("key", id), p < 5
	case p < 45:
		r.Kind, r.Shard = model.KindRead, shardName(w.rng.IntN(w.shards))
	case p < 50:
		r.Snapshot = model.Snapshot(2 + w.rng.IntN(7))
	}
	w.callers[id] = &caller{Request: r, received: w.now, got: map[delivery]bool{}}
	w.request(r)
	if w.chance(5) {
		w.after(w.upTo(30*ms), func() { w.apply(event.CallerGone{Query: id}) })
	}
}

// disturb changes snapshots, owners, VMs or the partition map.
func (w *world) disturb() {
	switch w.rng.IntN(5) {
	case 0, 1: // a new snapshot reaches the shards one by one, and the oldest one is dropped
		for _, key := range w.keys() {
			w.after(w.upTo(20*ms), func() {
				r := w.ranges[key]
				w.ranges[key] = [2]model.Snapshot{max(r[0], r[1]-1), r[1] + 1}
			})
		}
	case 2:
		key := w.keys()[w.rng.IntN(len(w.owners))]
		w.owners[key] = testVMs[w.rng.IntN(len(testVMs))]
	case 3:
		w.loseVM(testVMs[1+w.rng.IntN(len(testVMs)-1)])
	case 4:
		w.epoch++
	}
	w.publishLater()
}

func (w *world) keys() []model.ShardKey {
	var keys []model.ShardKey
	for key := range w.owners {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, model.ShardKey.Compare)
	return keys
}

func (w *world) loseVM(vm model.VM) {
	if !w.alive[vm] {
		return
	}
	w.alive[vm] = false
	w.after(w.upTo(20*ms), func() { w.apply(event.PeerLost{VM: vm}) })
	for _, key := range w.keys() {
		if w.owners[key] == vm && w.chance(70) {
			w.after(w.upTo(50*ms), func() { w.owners[key] = testVMs[0]; w.publishLater() })
		}
	}
	w.after(50*ms+w.upTo(100*ms), func() { w.alive[vm] = true; w.boots[vm]++; w.publishLater() })
}

func (w *world) publishLater() {
	w.after(w.upTo(40*ms), func() { w.apply(event.ViewPublished{View: w.currentView()}) })
}

func (w *world) currentView() *model.View {
	view := newView(w.shards, w.epoch)
	view.Draining = w.chance(3)
	view.Config.Shares = map[model.Route]model.VersionShare{
		testRoute: {Move: "m", From: "v1", To: "v2", Share: 0.3},
	}
	for _, vm := range testVMs {
		view.Peers[vm] = model.Peer{VM: vm, Boot: w.boots[vm], Alive: w.alive[vm]}
	}
	for _, key := range w.keys() {
		view.Owners[key] = model.Owner{VM: w.owners[key], Boot: w.boots[w.owners[key]]}
		if w.chance(5) {
			delete(view.Owners, key)
		}
	}
	return view
}

func (w *world) effect(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendSubRequests:
		w.deliver(e)
	case effect.SendCancels:
		for _, c := range e.Cancels {
			w.after(w.upTo(2*ms), func() { w.cancelled[c] = true })
		}
	case effect.ReplyCaller:
		w.checkReply(e)
	}
}

// deliver carries a message to its owner, or loses it in one of several ways.
func (w *world) deliver(m effect.SendSubRequests) {
	for _, r := range m.Requests {
		c := w.callers[r.Query]
		c.last = r
		if !slices.Contains(c.runs, r.Run) {
			c.runs = append(c.runs, r.Run)
		}
		if r.Budget <= 0 {
			w.problem("query %d was sent without a budget", r.Query)
		}
	}
	fault := w.rng.IntN(100)
	if fault < 4 {
		ev := event.SendFailed{To: m.To, Requests: m.Requests, Sent: fault < 2}
		w.after(w.upTo(3*ms), func() { w.apply(ev) })
		w.after(w.upTo(40*ms), func() { w.apply(ev) }) // doubled, perhaps after the next sending
	}
	if fault < 6 && fault != 0 { // 0: reported as possibly sent, and it did arrive
		return
	}
	for _, r := range m.Requests {
		w.after(w.upTo(2*ms), func() { w.arrive(m.To, r) })
	}
}

// arrive is the owner's side of a sub-request.
func (w *world) arrive(vm model.VM, r model.SubRequest) {
	switch {
	case !w.alive[vm]:
		return
	case w.owners[r.Key] != vm:
		reply := w.reply1(r, model.OutcomeNotOwner)
		if w.chance(50) {
			reply.Owner = model.Owner{VM: w.owners[r.Key], Boot: w.boots[w.owners[r.Key]]}
		}
		w.back(vm, reply)
	case r.Epoch != w.epoch:
		w.back(vm, w.reply1(r, model.OutcomeEpochChanged))
	case w.chance(8):
		codes := []model.OutcomeCode{model.OutcomeShed, model.OutcomeExpired, model.OutcomeNoServer,
			model.OutcomeDuplicate, model.OutcomeRefusedConnection}
		w.back(vm, w.reply1(r, codes[w.rng.IntN(len(codes))]))
	default:
		w.after(w.upTo(8*ms), func() { w.execute(vm, r) })
	}
}

func (w *world) execute(vm model.VM, r model.SubRequest) {
	served := w.ranges[r.Key]
	c := w.callers[r.Query]
	if !w.alive[vm] || w.cancelled[event.Cancel{Query: r.Query, Run: r.Run, Key: r.Key}] {
		return
	}
	if r.Snapshot != 0 && (r.Snapshot < served[0] || r.Snapshot > served[1]) {
		w.back(vm, w.reply1(r, model.OutcomeSnapshotGone))
		return
	}
	c.ran++
	if c.notRun {
		w.problem("query %d was refused as not run and then ran", r.Query)
	}
	if r.Kind == model.KindSubmit && c.ran > 1 {
		w.problem("submit %d ran %d times", r.Query, c.ran)
	}
	if w.chance(6) {
		codes := []model.OutcomeCode{model.OutcomeFailed, model.OutcomeTimeout, model.OutcomeLost, model.OutcomeCancelled}
		w.back(vm, w.reply1(r, codes[w.rng.IntN(len(codes))]))
		return
	}
	reply := w.reply1(r, model.OutcomeOK)
	reply.Snapshot = cmp.Or(r.Snapshot, served[1])
	if w.chance(2) {
		reply.Snapshot = served[0] // ignores what it was asked for
	}
	reply.Hits = hitsOf(r.Query, r.Key, reply.Snapshot, r.Epoch, w.shards)
	w.back(vm, reply)
}

func (w *world) reply1(r model.SubRequest, outcome model.OutcomeCode) model.SubReply {
	served := w.ranges[r.Key]
	return model.SubReply{
		Query: r.Query, Run: r.Run, Key: r.Key, Outcome: outcome,
		Oldest: served[0], Newest: served[1], Attempts: 1,
	}
}

// back carries a reply to the entry daemon: late, lost, doubled, or with a crossed copy that
// names another query, run, peer or shard.
func (w *world) back(vm model.VM, r model.SubReply) {
	delay := w.upTo(2 * ms)
	if w.chance(5) {
		delay = w.upTo(150 * ms)
	}
	if w.chance(2) {
		return
	}
	w.after(delay, func() { w.arriveBack(vm, r) })
	if w.chance(10) {
		w.after(w.upTo(60*ms), func() { w.arriveBack(vm, r) })
	}
	if !w.chance(10) {
		return
	}
	crossed, from := r, vm
	switch w.rng.IntN(4) {
	case 0:
		crossed.Query = 1 + (r.Query+model.QueryID(w.rng.IntN(worldRequests-1)))%worldRequests
	case 1:
		crossed.Run = uint32(w.rng.IntN(3))
	case 2:
		from = "vm9"
	case 3:
		crossed.Key.Version = "v0"
	}
	w.after(w.upTo(5*ms), func() { w.reply(from, crossed) })
}

func (w *world) arriveBack(vm model.VM, r model.SubReply) {
	c := w.callers[r.Query]
	c.got[delivery{r.Run, r.Key.Shard, r.Outcome, r.Snapshot}] = true
	w.reply(vm, r)
}

// hitsOf returns what a shard holds at a snapshot. Document 0 moves from shard 0 to shard 1 in
// even epochs, and document 100 is in every shard.
func hitsOf(id model.QueryID, key model.ShardKey, snapshot model.Snapshot, epoch uint64, shards int) []model.Hit {
	var hits []model.Hit
	for doc := range 3 * shards {
		home := doc % shards
		if doc == 0 && epoch%2 == 0 {
			home = 1
		}
		if shardName(home) == key.Shard && (doc+int(snapshot))%4 != 0 {
			hits = append(hits, testHit(id, key, snapshot, doc))
		}
	}
	return append(hits, testHit(id, key, snapshot, 100))
}

func testHit(id model.QueryID, key model.ShardKey, snapshot model.Snapshot, doc int) model.Hit {
	body := fmt.Sprintf("query %d %s snapshot %d", id, key.Version, snapshot)
	return model.Hit{Document: fmt.Sprintf("doc-%03d", doc), Score: float64(doc % 5), Body: []byte(body)}
}

// checkReply compares a reply to a caller with what the world knows.
func (w *world) checkReply(e effect.ReplyCaller) {
	c := w.callers[e.Query]
	if c == nil || c.replied {
		w.problem("query %d: unexpected or second reply", e.Query)
		return
	}
	c.replied = true
	if end := c.received.Add(c.Budget - query.AnswerReserve); w.now > end {
		w.problem("query %d: reply after its deadline", e.Query)
	}
	if (e.Answer == nil) == (e.Refusal == nil) {
		w.problem("query %d: not exactly one of answer and refusal", e.Query)
		return
	}
	if c.Kind != model.KindSubmit && len(c.runs) > 2 {
		w.problem("query %d: %d runs", e.Query, len(c.runs))
	}
	if e.Refusal != nil {
		w.checkRefusal(c, e.Refusal)
		return
	}
	w.checkCoverage(c, &e.Answer.Coverage)
	w.checkAnswer(c, e.Answer)
}

func (w *world) checkRefusal(c *caller, r *model.Refusal) {
	switch r.Code {
	case model.RefusedNotRun, model.RefusedInvalid, model.RefusedDuplicate:
		c.notRun = true
		if c.ran > 0 {
			w.problem("query %d: refused as %q but ran", c.Query, r.Code)
		}
	case model.RefusedLowCoverage:
		if c.Kind == model.KindSubmit || r.Coverage == nil {
			w.problem("query %d: low coverage without reason", c.Query)
			return
		}
		w.checkCoverage(c, r.Coverage)
	case model.RefusedOutcomeUnknown:
		if c.Kind != model.KindSubmit {
			w.problem("query %d: outcome unknown of an idempotent request", c.Query)
		}
	}
}

// checkCoverage compares the reasons for missing shards with the replies that arrived.
func (w *world) checkCoverage(c *caller, coverage *model.Coverage) {
	wanted := 1
	if c.Kind == model.KindSearch {
		wanted = w.shards
	}
	if coverage.Wanted != wanted || coverage.Answered+len(coverage.Missing) != wanted {
		w.problem("query %d: coverage %+v does not add up to %d", c.Query, coverage, wanted)
	}
	proof := map[model.MissingReason]model.OutcomeCode{
		model.MissingShed: model.OutcomeShed, model.MissingNoServer: model.OutcomeNoServer,
		model.MissingRepartition: model.OutcomeEpochChanged,
	}
	for i, m := range coverage.Missing {
		if i > 0 && coverage.Missing[i-1].Shard >= m.Shard {
			w.problem("query %d: missing shards are not sorted", c.Query)
		}
		outcome, ok := proof[m.Reason]
		if ok && !c.got[delivery{c.last.Run, m.Shard, outcome, 0}] {
			w.problem("query %d: shard %s missing as %q without such a reply", c.Query, m.Shard, m.Reason)
		}
	}
}

// checkAnswer rebuilds the answer from the shards that it claims to cover.
func (w *world) checkAnswer(c *caller, a *model.Answer) {
	if c.Kind == model.KindSubmit && c.ran != 1 {
		w.problem("submit %d was answered but ran %d times", c.Query, c.ran)
	}
	missing := map[model.ShardID]bool{}
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	var want []model.Hit
	for i := range w.shards {
		key := testKey(a.Version, i)
		if missing[key.Shard] || c.Kind != model.KindSearch && key.Shard != c.Shard {
			continue
		}
		if !c.got[delivery{c.last.Run, key.Shard, model.OutcomeOK, a.Snapshot}] {
			w.problem("query %d: shard %s counts as answered without a reply", c.Query, key.Shard)
		}
		want = append(want, hitsOf(c.Query, key, a.Snapshot, c.last.Epoch, w.shards)...)
	}
	if got, want := hitList(a.Hits), hitList(expectedMerge(want, c.Limit)); got != want {
		w.problem("query %d: hits differ\n got %s\nwant %s", c.Query, got, want)
	}
	if c.last.Key.Version != a.Version {
		w.problem("query %d: asked %s, answered as %s", c.Query, c.last.Key.Version, a.Version)
	}
}

// expectedMerge is a plain model of merging: sort, drop repeated documents, cut.
func expectedMerge(hits []model.Hit, limit int) []model.Hit {
	slices.SortFunc(hits, func(a, b model.Hit) int {
		if a.Score != b.Score {
			return int(b.Score - a.Score)
		}
		return strings.Compare(a.Document, b.Document)
	})
	hits = slices.CompactFunc(hits, func(a, b model.Hit) bool { return a.Document == b.Document })
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits
}

func hitList(hits []model.Hit) string {
	var b strings.Builder
	for _, h := range hits {
		fmt.Fprintf(&b, "[%s %g %s]", h.Document, h.Score, h.Body)
	}
	return b.String()
}
