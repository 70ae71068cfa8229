package admission

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

var checkKey = model.ShardKey{
	Route:   model.Route{Customer: "haugland", Route: "portal-search"},
	Version: "v1",
	Shard:   "s1",
}

// newCheckOwner returns an owner of one key with two warm servers of two slots each, four
// running submits and one queued submit.
func newCheckOwner() (*Owner, *shardKey) {
	version := model.VersionConfig{
		ID: "v1", Epoch: 1,
		Limits: model.Limits{Slots: 2, Connections: 2, ColdSlots: 1},
		Shards: []model.ShardConfig{{ID: "s1", Replicas: []model.BackendServer{{ID: "s1-0"}, {ID: "s1-1"}}}},
	}
	route := model.RouteConfig{ID: "portal-search", Versions: []model.VersionConfig{version}}
	o := New()
	var out effect.List
	o.View(&model.View{
		Self: "vm-a", Boot: 1,
		Config: &model.ConfigView{Templates: map[model.CustomerID]*model.Template{
			"haugland": {Customer: "haugland", Routes: []model.RouteConfig{route}},
		}},
		Leases: map[model.ShardKey]model.Lease{checkKey: {
			Until: model.Never, Term: 1, Clean: true,
			Servers: []model.ServerState{{Server: "s1-0", Limit: 2}, {Server: "s1-1", Limit: 2}},
		}},
	}, 1, &out)
	var subs []model.SubRequest
	for i := range 5 {
		subs = append(subs, model.SubRequest{
			Query: model.QueryID(i + 1), Entry: "vm-b", Key: checkKey, Epoch: 1, Kind: model.KindSubmit,
			Owner: model.Owner{VM: "vm-a", Boot: 1}, Budget: time.Second, Dedupe: string(rune('a' + i)),
		})
	}
	o.Requests(event.SubRequestsReceived{Requests: subs}, 1, &out)
	return o, o.keys[checkKey]
}

// TestCheck guards against invariants that Check does not enforce: it corrupts the state in
// one way per case and expects the error for it.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(o *Owner, k *shardKey)
		want    string
	}{
		{"no broken invariant", func(*Owner, *shardKey) {}, ""},
		{"more attempts than the limit", func(o *Owner, k *shardKey) {
			for _, a := range o.attempts {
				a.limit = 1
			}
		}, "has 2 attempts in flight with a limit of 1"},
		{"limit above the slots", func(_ *Owner, k *shardKey) { k.servers[0].limit = 3 }, "limit 3 above its 2 slots"},
		{"miscounted attempts", func(_ *Owner, k *shardKey) { k.servers[1].inFlight = 1 }, "has 2 attempts in flight, counted as 1"},
		{"server removed under an attempt", func(_ *Owner, k *shardKey) { k.servers = k.servers[:1] }, "does not run on a server"},
		{"attempt without server", func(_ *Owner, k *shardKey) { k.running[0].attempts[0].server = nil }, "does not run on a server"},
		{"unregistered attempt", func(o *Owner, k *shardKey) { delete(o.attempts, 1) }, "attempt 1 is not registered"},
		{"attempt without request", func(o *Owner, _ *shardKey) { o.attempts[99] = &attempt{id: 99} }, "5 attempts registered"},
		{"two attempts of a submit", func(_ *Owner, k *shardKey) { k.running[0].mayHaveRun = true }, "two attempts that may have run"},
		{"two submits with one idempotency key", func(_ *Owner, k *shardKey) { k.running[1].sub.Dedupe = "a" }, "runs in queries 1 and 2"},
		{"queued submit that may have run", func(_ *Owner, k *shardKey) { k.queue.items[0].mayHaveRun = true }, "queued although it may have run"},
		{"queued request that was answered", func(_ *Owner, k *shardKey) { k.queue.items[0].done = true }, "although it was answered"},
		{"queued and running", func(_ *Owner, k *shardKey) {
			k.queue.items[0].attempts = k.running[0].attempts
		}, "queued while an attempt runs"},
		{"missing request", func(_ *Owner, k *shardKey) { k.running[0].done = true }, "5 requests unanswered, 4"},
		{"miscounted queue", func(o *Owner, _ *shardKey) { o.queuedSubmits = 0 }, "1 submits queued, counted as 1 and 0"},
		{"unregistered key", func(o *Owner, _ *shardKey) { delete(o.keys, checkKey) }, "key is not registered"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, k := newCheckOwner()
			c.corrupt(o, k)
			err := o.Check()
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // error text
		})
	}
}
