package query

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// newCheckTable returns a table with one running search over two shards, one of which has answered.
func newCheckTable() (*Table, *query) {
	name := model.Route{Customer: "haugland", Route: "portal-search"}
	version := model.VersionConfig{ID: "v1", Epoch: 1, Shards: []model.ShardConfig{{ID: "s1"}, {ID: "s2"}}}
	route := model.RouteConfig{
		ID: name.Route, Timeout: time.Second, Classes: []string{"portal"}, DefaultClass: "portal",
		StableVersion: "v1", Versions: []model.VersionConfig{version},
	}
	v := &model.View{
		Self: "vm-a", Boot: 1, Owners: map[model.ShardKey]model.Owner{},
		Config: &model.ConfigView{Digest: 1, Templates: map[model.CustomerID]*model.Template{
			name.Customer: {Customer: name.Customer, Routes: []model.RouteConfig{route}},
		}},
	}
	for _, s := range version.Shards {
		v.Owners[model.ShardKey{Route: name, Version: "v1", Shard: s.ID}] = model.Owner{VM: "vm-a", Boot: 1}
	}
	t := New(rand.New(rand.NewPCG(1, 1)), moves.NewPairer())
	var out effect.List
	t.View(v, 1, &out)
	t.Request(event.RequestReceived{Request: model.Request{Query: 1, Route: name, Kind: model.KindSearch}}, 1, &out)
	q := t.queries[1]
	t.Replies(event.SubRepliesReceived{From: "vm-a", Replies: []model.SubReply{{
		Query: 1, Run: q.run, Key: q.keys[0], Outcome: model.OutcomeOK, Snapshot: 5, Oldest: 5, Newest: 5,
	}}}, 2, &out)
	return t, q
}

// TestCheck checks that Check reports each kind of invalid state and accepts a valid one.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(t *Table, q *query)
		want    string
	}{
		{"valid", func(*Table, *query) {}, ""},
		{"wrong count of pending shards", func(_ *Table, q *query) { q.pending = 2 }, "1 shards are pending, but the counter is 2"},
		{"no shard pending", func(_ *Table, q *query) { q.markMissing(&q.shards[1], model.MissingFailed) }, "no shard is pending"},
		{"answer from another snapshot", func(_ *Table, q *query) { q.pin = 4 }, "from snapshot 5 instead of the pinned snapshot 4"},
		{"ended with a timer", func(_ *Table, q *query) { q.ended = true }, "its timer is still set"},
		{"timer without query", func(t *Table, _ *query) { delete(t.queries, 1) }, "is not in the table"},
		{"query without timer", func(t *Table, q *query) { t.timers.remove(q) }, "1 queries are running, but 0 timers are set"},
		{"wrong heap index", func(_ *Table, q *query) { q.heapIndex = 3 }, "timer at heap index 0, but records index 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, q := newCheckTable()
			c.corrupt(table, q)
			err := table.Check()
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // error text
		})
	}
}
