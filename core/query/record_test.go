package query

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/matryer/is"
)

type fakeRecorder struct{ outcomes []moves.Outcome }

func (f *fakeRecorder) Record(o moves.Outcome, now model.Time) { f.outcomes = append(f.outcomes, o) }

// TestMoveOutcomes checks the outcomes recorded for a move: exactly one per query, which counts as
// failed if the query is refused or the version may have caused a failure, and none for an invalid
// request.
func TestMoveOutcomes(t *testing.T) {
	route := model.Route{Customer: "c", Route: "r"}
	version := model.VersionConfig{ID: "v2", Shards: []model.ShardConfig{{ID: "a"}, {ID: "b"}}}
	template := &model.Template{Customer: "c", Routes: []model.RouteConfig{{
		ID: "r", Classes: []string{"x"}, DefaultClass: "x", Versions: []model.VersionConfig{version},
	}}}
	view := &model.View{Self: "vm1", Owners: map[model.ShardKey]model.Owner{}, Config: &model.ConfigView{
		Templates: map[model.CustomerID]*model.Template{"c": template},
		Shares:    map[model.Route]model.VersionShare{route: {Move: "m", From: "v1", To: "v2", Share: 1}},
	}}
	for _, shard := range []model.ShardID{"a", "b"} {
		view.Owners[model.ShardKey{Route: route, Version: "v2", Shard: shard}] = model.Owner{VM: "vm1"}
	}
	for _, test := range []struct {
		outcome     model.OutcomeCode
		minCoverage float64
		failed      bool
	}{
		{model.OutcomeOK, 0, false},
		{model.OutcomeSnapshotGone, 0, false}, // the answer is partial, but not because of the version
		{model.OutcomeFailed, 0, true},
		{model.OutcomeTimeout, 0, true},
		{model.OutcomeNoServer, 0, true},
		{model.OutcomeShed, 0, true},
		{model.OutcomeSnapshotGone, 1, true}, // refused
	} {
		is := is.New(t)
		recorder := &fakeRecorder{}
		table := New(rand.New(rand.NewPCG(1, 1)), nil)
		table.recorder = recorder
		var out effect.List
		table.View(view, 0, &out)
		table.Request(event.RequestReceived{Request: model.Request{Query: 2, Route: route, Kind: model.KindRead, Shard: "z"}}, 0, &out)
		table.Request(event.RequestReceived{Request: model.Request{Query: 1, Route: route, MinCoverage: test.minCoverage}}, 0, &out)
		for key, outcome := range map[model.ShardID]model.OutcomeCode{"a": model.OutcomeOK, "b": test.outcome} {
			r := model.SubReply{Query: 1, Run: table.lastRun, Outcome: outcome, Snapshot: 1}
			r.Key = model.ShardKey{Route: route, Version: "v2", Shard: key}
			table.Replies(event.SubRepliesReceived{From: "vm1", Replies: []model.SubReply{r}}, 7, &out)
		}
		want := moves.Outcome{Route: route, Move: "m", New: true, Failed: test.failed, Latency: time.Duration(7)}
		is.Equal(recorder.outcomes, []moves.Outcome{want})
	}
}

// TestRangesFollowView guards against snapshot ranges that are kept for shard keys no longer in the
// view, and against the loss of ranges of shard keys that remain.
func TestRangesFollowView(t *testing.T) {
	is := is.New(t)
	route := model.Route{Customer: "c", Route: "r"}
	config := func(shards ...model.ShardID) *model.ConfigView {
		version := model.VersionConfig{ID: "v"}
		for _, id := range shards {
			version.Shards = append(version.Shards, model.ShardConfig{ID: id})
		}
		template := &model.Template{Routes: []model.RouteConfig{{ID: "r", Versions: []model.VersionConfig{version}}}}
		return &model.ConfigView{Templates: map[model.CustomerID]*model.Template{"c": template}}
	}
	var c routeCache
	c.update(config("a", "b"))
	c.partition(route, "v").ranges[1].update(&model.SubReply{Oldest: 2, Newest: 4}, 0)
	c.update(config("b", "c"))
	p := c.partition(route, "v")
	is.Equal([]snapshotRange{*p.ranges[0], *p.ranges[1]}, []snapshotRange{{2, 4}, {}})
	c.update(&model.ConfigView{})
	is.Equal(len(c.routes), 0)
}

// TestMostServed guards against pinning a snapshot that most shards no longer serve. This could
// happen when the range of a shard that has long been unreachable is out of date.
func TestMostServed(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		ranges []*snapshotRange
		want   model.Snapshot
		count  int
	}{
		{[]*snapshotRange{{1, 5}, {2, 4}, {}}, 4, 2},
		{[]*snapshotRange{{50, 60}, {50, 59}, {1, 3}}, 59, 2},
		{[]*snapshotRange{{1, 2}, {5, 6}}, 6, 1},
		{[]*snapshotRange{{}, {}}, 0, 0},
	} {
		snapshot, n := mostServedSnapshot(test.ranges)
		is.Equal(snapshot, test.want)
		is.Equal(n, test.count)
	}
}

// TestSnapshotRangeUpdate guards against a snapshot range that still contains a snapshot which the
// server has just reported as gone.
func TestSnapshotRangeUpdate(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		reply model.SubReply
		want  snapshotRange
	}{
		{model.SubReply{Oldest: 5, Newest: 7}, snapshotRange{5, 7}},
		{model.SubReply{Newest: 7}, snapshotRange{7, 7}},
		{model.SubReply{}, snapshotRange{1, 3}},
		{model.SubReply{Oldest: 9, Newest: 7}, snapshotRange{1, 3}},
		{model.SubReply{Oldest: 5, Newest: 7, Outcome: model.OutcomeSnapshotGone}, snapshotRange{5, 7}},
		{model.SubReply{Outcome: model.OutcomeSnapshotGone}, snapshotRange{}},
		{model.SubReply{Oldest: 2, Newest: 3, Outcome: model.OutcomeSnapshotGone}, snapshotRange{}},
	} {
		r := snapshotRange{1, 3}
		r.update(&test.reply, 2)
		is.Equal(r, test.want)
	}
}
