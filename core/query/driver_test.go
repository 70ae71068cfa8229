package query_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/core/query"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const ms = time.Millisecond

var testRoute = model.Route{Customer: "haugland", Route: "portal-search"}

// testVMs own the shards in round-robin order. The first one is the entry daemon.
var testVMs = []model.VM{"vm1", "vm2", "vm3"}

func shardName(i int) model.ShardID { return model.ShardID(fmt.Sprintf("s%02d", i)) }

func testKey(version model.VersionID, i int) model.ShardKey {
	return model.ShardKey{Route: testRoute, Version: version, Shard: shardName(i)}
}

// newView returns a view of one route with versions v1 (stable) and v2.
func newView(shards int, epoch uint64) *model.View {
	route := model.RouteConfig{
		ID: testRoute.Route, Timeout: 100 * ms, CoverageFloor: 0.5,
		Classes: []string{"high", "low"}, DefaultClass: "high", StableVersion: "v1",
	}
	view := &model.View{
		Self: testVMs[0], Boot: 1,
		Peers:  make(map[model.VM]model.Peer),
		Owners: make(map[model.ShardKey]model.Owner),
	}
	for _, vm := range testVMs {
		view.Peers[vm] = model.Peer{VM: vm, Boot: 1, Alive: true}
	}
	for _, id := range []model.VersionID{"v1", "v2"} {
		version := model.VersionConfig{ID: id, Epoch: epoch}
		for i := range shards {
			version.Shards = append(version.Shards, model.ShardConfig{ID: shardName(i)})
			view.Owners[testKey(id, i)] = model.Owner{VM: testVMs[i%len(testVMs)], Boot: 1}
		}
		route.Versions = append(route.Versions, version)
	}
	view.Config = &model.ConfigView{Templates: map[model.CustomerID]*model.Template{
		testRoute.Customer: {Customer: testRoute.Customer, Routes: []model.RouteConfig{route}},
	}}
	return view
}

// sentRequest is a sub-request with the VM that it was sent to.
type sentRequest struct {
	to model.VM
	model.SubRequest
}

// driver applies events to a table and records the effects.
type driver struct {
	table    *query.Table
	view     *model.View
	now      model.Time
	onEvent  func(event.Event)   // called before each event is applied, if set
	onEffect func(effect.Effect) // called after each effect is recorded, if set
	sent     []sentRequest
	messages int // number of messages with sub-requests
	cancels  []event.Cancel
	replies  []effect.ReplyCaller
	counts   map[string]int64
}

func newDriver(seed uint64, view *model.View) *driver {
	d := &driver{
		table:  query.New(rand.New(rand.NewPCG(seed, 1)), moves.NewPairer()),
		counts: make(map[string]int64),
	}
	if view != nil {
		d.apply(event.ViewPublished{View: view})
	}
	return d
}

func (d *driver) apply(ev event.Event) {
	if d.onEvent != nil {
		d.onEvent(ev)
	}
	var out effect.List
	switch e := ev.(type) {
	case event.ViewPublished:
		d.view = e.View
		d.table.View(e.View, d.now, &out)
	case event.RequestReceived:
		d.table.Request(e, d.now, &out)
	case event.CallerGone:
		d.table.CallerGone(e, d.now, &out)
	case event.SubRepliesReceived:
		d.table.Replies(e, d.now, &out)
	case event.SendFailed:
		d.table.SendFailed(e, d.now, &out)
	case event.PeerLost:
		d.table.PeerLost(e, d.now, &out)
	case event.Wake:
		d.table.Wake(d.now, &out)
	}
	if err := d.table.Check(); err != nil {
		panic(fmt.Sprintf("after %T: %v", ev, err))
	}
	for _, e := range out.Take() {
		d.recordEffect(e)
		if d.onEffect != nil {
			d.onEffect(e)
		}
	}
}

// recordEffect stores the data of one effect for the assertions of the tests.
func (d *driver) recordEffect(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendSubRequests:
		d.messages++
		for _, r := range e.Requests {
			d.sent = append(d.sent, sentRequest{e.To, r})
		}
	case effect.SendCancels:
		d.cancels = append(d.cancels, e.Cancels...)
	case effect.ReplyCaller:
		d.replies = append(d.replies, e)
	case effect.Count:
		d.counts[e.Name] += e.Add
	}
}

// takeSent returns the sub-requests sent since the last call, in the order of sending.
func (d *driver) takeSent() []sentRequest {
	sent := d.sent
	d.sent = nil
	return sent
}

// advance moves the time forward and applies an event.Wake at each time that the table asks for.
func (d *driver) advance(to time.Duration) {
	end := model.Time(to)
	for next := d.table.NextWake(); next <= end; next = d.table.NextWake() {
		d.now = max(d.now, next)
		d.apply(event.Wake{})
	}
	d.now = max(d.now, end)
}

func (d *driver) request(r model.Request) {
	if r.Route == (model.Route{}) {
		r.Route = testRoute
	}
	d.apply(event.RequestReceived{Request: r})
}

// search starts a search over all shards and returns its sub-requests sorted by shard.
func (d *driver) search(id model.QueryID) []sentRequest {
	d.request(model.Request{Query: id, MinCoverage: -1})
	return d.takeSentByShard()
}

// takeSentByShard returns the sub-requests sent since the last call, sorted by shard key.
func (d *driver) takeSentByShard() []sentRequest {
	sent := d.takeSent()
	slices.SortFunc(sent, func(a, b sentRequest) int { return a.Key.Compare(b.Key) })
	return sent
}

func (d *driver) reply(from model.VM, replies ...model.SubReply) {
	d.apply(event.SubRepliesReceived{From: from, Replies: replies})
}

// replyAll sends a reply built by replyTo for each sub-request, from the VM that it was sent to.
func (d *driver) replyAll(outcome model.OutcomeCode, oldest, newest model.Snapshot, sent ...sentRequest) {
	for _, s := range sent {
		d.reply(s.to, replyTo(s, outcome, oldest, newest))
	}
}

// replyTo returns a reply with an outcome, from a backend server that serves a range of snapshots.
// The reply comes from the requested snapshot, or from the newest one if none is requested.
func replyTo(s sentRequest, outcome model.OutcomeCode, oldest, newest model.Snapshot) model.SubReply {
	r := model.SubReply{
		Query: s.Query, Run: s.Run, Key: s.Key, Outcome: outcome, Snapshot: newest,
		Oldest: oldest, Newest: newest, Attempts: 1,
	}
	if s.Snapshot != 0 {
		r.Snapshot = s.Snapshot
	}
	if outcome == model.OutcomeOK {
		r.Hits = []model.Hit{{Document: "doc-" + string(s.Key.Shard), Score: 1}}
	}
	return r
}

// onlyReply returns the reply to a caller if there is exactly one, or else an empty one.
func (d *driver) onlyReply() effect.ReplyCaller {
	if len(d.replies) != 1 {
		return effect.ReplyCaller{}
	}
	return d.replies[0]
}

// refusalCode returns the code of the only reply if it is a refusal.
func (d *driver) refusalCode() model.RefusalCode {
	if r := d.onlyReply().Refusal; r != nil {
		return r.Code
	}
	return ""
}

// answer returns the answer in the only reply, or an empty one.
func (d *driver) answer() model.Answer {
	if a := d.onlyReply().Answer; a != nil {
		return *a
	}
	return model.Answer{}
}
