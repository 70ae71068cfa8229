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

// simulation simulates the owners of the shards in virtual time, with faults chosen by a seeded
// random generator. It records which sub-requests ran and which replies were delivered, computes
// the hits of each snapshot, and checks every reply to a caller against them.
type simulation struct {
	*driver
	rng    *rand.Rand
	queue  []task // ordered by time, then by the order of the calls of schedule
	shards int
	epoch  uint64 // the owners' epoch; the table's view follows later

	up     map[model.VM]bool
	boots  map[model.VM]model.Boot
	owners map[model.ShardKey]model.VM
	ranges map[model.ShardKey][2]model.Snapshot

	callers    map[model.QueryID]*simulatedCaller
	cancelled  map[event.Cancel]bool
	violations []string
}

// simulatedCaller records what happened to one request.
type simulatedCaller struct {
	model.Request
	received      model.Time
	replied       bool
	refusedNotRun bool
	executions    int
	runNumbers    []uint32
	lastSent      model.SubRequest // latest sub-request, which has the epoch and version of the last run
	delivered     map[delivery]bool
}

// delivery identifies a reply that reached the entry daemon.
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

const simulatedRequests = 30

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), epoch: 1,
		up: map[model.VM]bool{}, boots: map[model.VM]model.Boot{},
		owners: map[model.ShardKey]model.VM{}, ranges: map[model.ShardKey][2]model.Snapshot{},
		callers: map[model.QueryID]*simulatedCaller{}, cancelled: map[event.Cancel]bool{},
	}
	s.shards = 2 + s.rng.IntN(5)
	for _, vm := range testVMs {
		s.up[vm], s.boots[vm] = true, 1
	}
	for _, version := range []model.VersionID{"v1", "v2"} {
		for i := range s.shards {
			key := testKey(version, i)
			s.owners[key] = testVMs[i%len(testVMs)]
			s.ranges[key] = [2]model.Snapshot{3, 5 + model.Snapshot(s.rng.IntN(2))}
		}
	}
	s.driver = newDriver(seed, s.currentView())
	s.driver.onEffect = s.handleEffect
	for i := range simulatedRequests {
		s.schedule(s.randomDuration(600*ms), func() { s.sendRequest(model.QueryID(i + 1)) })
	}
	for range 12 {
		s.schedule(s.randomDuration(600*ms), s.injectChange)
	}
	return s
}

// addViolation records a violation at the current virtual time.
func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

func (s *simulation) chance(percent int) bool { return s.rng.IntN(100) < percent }

// randomDuration returns a random duration from 0 up to but not including d.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// schedule adds a task to the queue that is executed after a duration.
func (s *simulation) schedule(d time.Duration, do func()) {
	at := s.now.Add(d)
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, task{at, do})
}

// run executes all tasks and wakes until none is left.
func (s *simulation) run() {
	for step := 0; step < 100_000; step++ {
		wake := s.table.NextWake()
		if len(s.queue) == 0 && wake == model.Never {
			break
		}
		if len(s.queue) == 0 || wake <= s.queue[0].at {
			s.now = max(s.now, wake)
			s.apply(event.Wake{})
		} else {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.now = next.at
			next.do()
		}
		s.checkState()
	}
	if len(s.replies) != simulatedRequests {
		s.addViolation("%d of %d requests have a reply", len(s.replies), simulatedRequests)
	}
}

func (s *simulation) checkState() {
	unanswered := len(s.callers) - len(s.replies)
	if s.table.Running() != unanswered || unanswered > 0 && s.table.NextWake() == model.Never {
		s.addViolation("%d queries are running, %d requests have no reply, next wake at %v", s.table.Running(), unanswered, s.table.NextWake())
	}
}

func (s *simulation) sendRequest(id model.QueryID) {
	r := model.Request{
		Query: id, Route: testRoute, Budget: 20*ms + s.randomDuration(200*ms),
		MinCoverage: []float64{-1, 0, 0.5, 1}[s.rng.IntN(4)], Limit: s.rng.IntN(3) * 4,
	}
	switch p := s.rng.IntN(100); {
	case p < 30:
		r.Kind, r.Shard, r.Key, r.Repeat = model.KindSubmit, shardName(s.rng.IntN(s.shards)), fmt.Sprint("key", id), p < 5
	case p < 45:
		r.Kind, r.Shard = model.KindRead, shardName(s.rng.IntN(s.shards))
	case p < 50:
		r.Snapshot = model.Snapshot(2 + s.rng.IntN(7))
	}
	s.callers[id] = &simulatedCaller{Request: r, received: s.now, delivered: map[delivery]bool{}}
	s.request(r)
	if s.chance(5) {
		s.schedule(s.randomDuration(30*ms), func() { s.apply(event.CallerGone{Query: id}) })
	}
}

// injectChange makes a random change to the snapshots, an owner, a VM or the partition map.
func (s *simulation) injectChange() {
	switch s.rng.IntN(5) {
	case 0, 1: // a new snapshot appears on the shards one after the other, and the oldest one is dropped
		for _, key := range s.sortedKeys() {
			s.schedule(s.randomDuration(20*ms), func() {
				r := s.ranges[key]
				s.ranges[key] = [2]model.Snapshot{max(r[0], r[1]-1), r[1] + 1}
			})
		}
	case 2:
		key := s.sortedKeys()[s.rng.IntN(len(s.owners))]
		s.owners[key] = testVMs[s.rng.IntN(len(testVMs))]
	case 3:
		s.stopVM(testVMs[1+s.rng.IntN(len(testVMs)-1)])
	case 4:
		s.epoch++
	}
	s.publishLater()
}

func (s *simulation) sortedKeys() []model.ShardKey {
	var keys []model.ShardKey
	for key := range s.owners {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, model.ShardKey.Compare)
	return keys
}

// stopVM stops a VM, may move its shard keys to another owner, and later starts it with a new boot.
func (s *simulation) stopVM(vm model.VM) {
	if !s.up[vm] {
		return
	}
	s.up[vm] = false
	s.schedule(s.randomDuration(20*ms), func() { s.apply(event.PeerLost{VM: vm}) })
	for _, key := range s.sortedKeys() {
		if s.owners[key] == vm && s.chance(70) {
			s.schedule(s.randomDuration(50*ms), func() { s.owners[key] = testVMs[0]; s.publishLater() })
		}
	}
	s.schedule(50*ms+s.randomDuration(100*ms), func() { s.up[vm] = true; s.boots[vm]++; s.publishLater() })
}

// publishLater schedules the publication of the view that is current at that time.
func (s *simulation) publishLater() {
	s.schedule(s.randomDuration(40*ms), func() { s.apply(event.ViewPublished{View: s.currentView()}) })
}

func (s *simulation) currentView() *model.View {
	view := newView(s.shards, s.epoch)
	view.Draining = s.chance(3)
	view.Config.Shares = map[model.Route]model.VersionShare{
		testRoute: {Move: "m", From: "v1", To: "v2", Share: 0.3},
	}
	for _, vm := range testVMs {
		view.Peers[vm] = model.Peer{VM: vm, Boot: s.boots[vm], Alive: s.up[vm]}
	}
	for _, key := range s.sortedKeys() {
		view.Owners[key] = model.Owner{VM: s.owners[key], Boot: s.boots[s.owners[key]]}
		if s.chance(5) {
			delete(view.Owners, key)
		}
	}
	return view
}

func (s *simulation) handleEffect(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendSubRequests:
		s.sendToOwner(e)
	case effect.SendCancels:
		for _, c := range e.Cancels {
			s.schedule(s.randomDuration(2*ms), func() { s.cancelled[c] = true })
		}
	case effect.ReplyCaller:
		s.checkReply(e)
	}
}

// sendToOwner schedules the arrival of a message at its owner, or a failure of one of several
// kinds.
func (s *simulation) sendToOwner(m effect.SendSubRequests) {
	for _, r := range m.Requests {
		c := s.callers[r.Query]
		c.lastSent = r
		if !slices.Contains(c.runNumbers, r.Run) {
			c.runNumbers = append(c.runNumbers, r.Run)
		}
		if r.Budget <= 0 {
			s.addViolation("query %d was sent without a budget", r.Query)
		}
	}
	fault := s.rng.IntN(100)
	if fault < 4 {
		ev := event.SendFailed{To: m.To, Requests: m.Requests, Sent: fault < 2}
		s.schedule(s.randomDuration(3*ms), func() { s.apply(ev) })
		s.schedule(s.randomDuration(40*ms), func() { s.apply(ev) }) // again, possibly after a resend
	}
	if fault < 6 && fault != 0 { // fault 0 is reported as possibly sent, and the message does arrive
		return
	}
	for _, r := range m.Requests {
		s.schedule(s.randomDuration(2*ms), func() { s.receiveAtOwner(m.To, r) })
	}
}

// receiveAtOwner handles a sub-request as its receiver does.
func (s *simulation) receiveAtOwner(vm model.VM, r model.SubRequest) {
	switch {
	case !s.up[vm]:
		return
	case s.owners[r.Key] != vm:
		reply := s.newReply(r, model.OutcomeNotOwner)
		if s.chance(50) {
			reply.Owner = model.Owner{VM: s.owners[r.Key], Boot: s.boots[s.owners[r.Key]]}
		}
		s.sendToEntry(vm, reply)
	case r.Epoch != s.epoch:
		s.sendToEntry(vm, s.newReply(r, model.OutcomeEpochChanged))
	case s.chance(8):
		codes := []model.OutcomeCode{model.OutcomeShed, model.OutcomeExpired, model.OutcomeNoServer,
			model.OutcomeDuplicate, model.OutcomeRefusedConnection}
		s.sendToEntry(vm, s.newReply(r, codes[s.rng.IntN(len(codes))]))
	default:
		s.schedule(s.randomDuration(8*ms), func() { s.execute(vm, r) })
	}
}

func (s *simulation) execute(vm model.VM, r model.SubRequest) {
	served := s.ranges[r.Key]
	c := s.callers[r.Query]
	if !s.up[vm] || s.cancelled[event.Cancel{Query: r.Query, Run: r.Run, Key: r.Key}] {
		return
	}
	if r.Snapshot != 0 && (r.Snapshot < served[0] || r.Snapshot > served[1]) {
		s.sendToEntry(vm, s.newReply(r, model.OutcomeSnapshotGone))
		return
	}
	c.executions++
	if c.refusedNotRun {
		s.addViolation("query %d was refused as not run and then ran", r.Query)
	}
	if r.Kind == model.KindSubmit && c.executions > 1 {
		s.addViolation("submit %d ran %d times", r.Query, c.executions)
	}
	if s.chance(6) {
		codes := []model.OutcomeCode{model.OutcomeFailed, model.OutcomeTimeout, model.OutcomeLost, model.OutcomeCancelled}
		s.sendToEntry(vm, s.newReply(r, codes[s.rng.IntN(len(codes))]))
		return
	}
	reply := s.newReply(r, model.OutcomeOK)
	reply.Snapshot = cmp.Or(r.Snapshot, served[1])
	if s.chance(2) {
		reply.Snapshot = served[0] // ignores the requested snapshot
	}
	reply.Hits = shardHits(r.Query, r.Key, reply.Snapshot, r.Epoch, s.shards)
	s.sendToEntry(vm, reply)
}

func (s *simulation) newReply(r model.SubRequest, outcome model.OutcomeCode) model.SubReply {
	served := s.ranges[r.Key]
	return model.SubReply{
		Query: r.Query, Run: r.Run, Key: r.Key, Outcome: outcome,
		Oldest: served[0], Newest: served[1], Attempts: 1,
	}
}

// sendToEntry schedules the arrival of a reply at the entry daemon. The reply may be delayed,
// lost or duplicated, or be followed by a copy with another query, run, peer or shard key.
func (s *simulation) sendToEntry(vm model.VM, r model.SubReply) {
	delay := s.randomDuration(2 * ms)
	if s.chance(5) {
		delay = s.randomDuration(150 * ms)
	}
	if s.chance(2) {
		return
	}
	s.schedule(delay, func() { s.receiveAtEntry(vm, r) })
	if s.chance(10) {
		s.schedule(s.randomDuration(60*ms), func() { s.receiveAtEntry(vm, r) })
	}
	if !s.chance(10) {
		return
	}
	altered, from := r, vm
	switch s.rng.IntN(4) {
	case 0:
		altered.Query = 1 + (r.Query+model.QueryID(s.rng.IntN(simulatedRequests-1)))%simulatedRequests
	case 1:
		altered.Run = uint32(s.rng.IntN(3))
	case 2:
		from = "vm9"
	case 3:
		altered.Key.Version = "v0"
	}
	s.schedule(s.randomDuration(5*ms), func() { s.reply(from, altered) })
}

func (s *simulation) receiveAtEntry(vm model.VM, r model.SubReply) {
	c := s.callers[r.Query]
	c.delivered[delivery{r.Run, r.Key.Shard, r.Outcome, r.Snapshot}] = true
	s.reply(vm, r)
}

// shardHits returns the hits of a shard at a snapshot. Document 0 is in shard 0 in odd epochs and
// in shard 1 in even epochs. Document 100 is in every shard.
func shardHits(id model.QueryID, key model.ShardKey, snapshot model.Snapshot, epoch uint64, shards int) []model.Hit {
	var hits []model.Hit
	for doc := range 3 * shards {
		holder := doc % shards
		if doc == 0 && epoch%2 == 0 {
			holder = 1
		}
		if shardName(holder) == key.Shard && (doc+int(snapshot))%4 != 0 {
			hits = append(hits, testHit(id, key, snapshot, doc))
		}
	}
	return append(hits, testHit(id, key, snapshot, 100))
}

func testHit(id model.QueryID, key model.ShardKey, snapshot model.Snapshot, doc int) model.Hit {
	body := fmt.Sprintf("query %d %s snapshot %d", id, key.Version, snapshot)
	return model.Hit{Document: fmt.Sprintf("doc-%03d", doc), Score: float64(doc % 5), Body: []byte(body)}
}

// checkReply checks a reply to a caller against the recorded executions and replies.
func (s *simulation) checkReply(e effect.ReplyCaller) {
	c := s.callers[e.Query]
	if c == nil || c.replied {
		s.addViolation("query %d: unexpected or second reply", e.Query)
		return
	}
	c.replied = true
	if end := c.received.Add(c.Budget - query.AnswerReserve); s.now > end {
		s.addViolation("query %d: reply after its deadline", e.Query)
	}
	if (e.Answer == nil) == (e.Refusal == nil) {
		s.addViolation("query %d: reply does not have exactly one of answer and refusal", e.Query)
		return
	}
	if c.Kind != model.KindSubmit && len(c.runNumbers) > 2 {
		s.addViolation("query %d has %d runs, at most 2 are allowed", e.Query, len(c.runNumbers))
	}
	if e.Refusal != nil {
		s.checkRefusal(c, e.Refusal)
		return
	}
	s.checkCoverage(c, &e.Answer.Coverage)
	s.checkAnswer(c, e.Answer)
}

func (s *simulation) checkRefusal(c *simulatedCaller, r *model.Refusal) {
	switch r.Code {
	case model.RefusedNotRun, model.RefusedInvalid, model.RefusedDuplicate:
		c.refusedNotRun = true
		if c.executions > 0 {
			s.addViolation("query %d: refused as %q but ran", c.Query, r.Code)
		}
	case model.RefusedLowCoverage:
		if c.Kind == model.KindSubmit || r.Coverage == nil {
			s.addViolation("query %d: low coverage reported for a submit or without coverage", c.Query)
			return
		}
		s.checkCoverage(c, r.Coverage)
	case model.RefusedOutcomeUnknown:
		if c.Kind != model.KindSubmit {
			s.addViolation("query %d: outcome reported as unknown for an idempotent request", c.Query)
		}
	}
}

// checkCoverage checks the counts of a coverage, and checks the reasons for missing shards against
// the replies that were delivered.
func (s *simulation) checkCoverage(c *simulatedCaller, coverage *model.Coverage) {
	wanted := 1
	if c.Kind == model.KindSearch {
		wanted = s.shards
	}
	if coverage.Wanted != wanted || coverage.Answered+len(coverage.Missing) != wanted {
		s.addViolation("query %d: coverage %+v does not add up to %d", c.Query, coverage, wanted)
	}
	expectedOutcome := map[model.MissingReason]model.OutcomeCode{
		model.MissingShed: model.OutcomeShed, model.MissingNoServer: model.OutcomeNoServer,
		model.MissingRepartition: model.OutcomeEpochChanged,
	}
	for i, m := range coverage.Missing {
		if i > 0 && coverage.Missing[i-1].Shard >= m.Shard {
			s.addViolation("query %d: missing shards are not sorted", c.Query)
		}
		outcome, ok := expectedOutcome[m.Reason]
		if ok && !c.delivered[delivery{c.lastSent.Run, m.Shard, outcome, 0}] {
			s.addViolation("query %d: shard %s missing as %q without such a reply", c.Query, m.Shard, m.Reason)
		}
	}
}

// checkAnswer compares the hits of an answer with those expected from the shards that it covers.
func (s *simulation) checkAnswer(c *simulatedCaller, a *model.Answer) {
	if c.Kind == model.KindSubmit && c.executions != 1 {
		s.addViolation("submit %d was answered but ran %d times", c.Query, c.executions)
	}
	missing := map[model.ShardID]bool{}
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	var want []model.Hit
	for i := range s.shards {
		key := testKey(a.Version, i)
		if missing[key.Shard] || c.Kind != model.KindSearch && key.Shard != c.Shard {
			continue
		}
		if !c.delivered[delivery{c.lastSent.Run, key.Shard, model.OutcomeOK, a.Snapshot}] {
			s.addViolation("query %d: shard %s counts as answered without a reply", c.Query, key.Shard)
		}
		want = append(want, shardHits(c.Query, key, a.Snapshot, c.lastSent.Epoch, s.shards)...)
	}
	if got, want := formatHits(a.Hits), formatHits(expectedMerge(want, c.Limit)); got != want {
		s.addViolation("query %d: hits differ\n got %s\nwant %s", c.Query, got, want)
	}
	if c.lastSent.Key.Version != a.Version {
		s.addViolation("query %d: version %s was asked, answer names version %s", c.Query, c.lastSent.Key.Version, a.Version)
	}
}

// expectedMerge is a simple reference implementation of merging: it sorts the hits, removes
// repeated documents and applies the limit.
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

func formatHits(hits []model.Hit) string {
	var b strings.Builder
	for _, h := range hits {
		fmt.Fprintf(&b, "[%s %g %s]", h.Document, h.Score, h.Body)
	}
	return b.String()
}
