package core

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// peerLostView returns a view in which the worker's VM, "a", owns shard s0 and VM "b" owns s1.
func peerLostView() *model.View {
	route := model.Route{Customer: "c", Route: "r"}
	key := func(s model.ShardID) model.ShardKey { return model.ShardKey{Route: route, Version: "v1", Shard: s} }
	shard := func(s model.ShardID) model.ShardConfig {
		return model.ShardConfig{ID: s, Replicas: []model.BackendServer{{ID: model.BackendServerID(s), Zone: "z", Address: "127.0.0.1:1"}}}
	}
	const second = 1000 * 1000 * 1000
	t := &model.Template{Customer: "c", AllowedZones: []model.AvailabilityZone{"z"}, Routes: []model.RouteConfig{{
		ID: "r", Timeout: second, AttemptTimeout: second, Classes: []string{"d"}, DefaultClass: "d", StableVersion: "v1",
		HedgePercentile: 0.95, HedgeBudget: 0.03,
		Versions: []model.VersionConfig{{ID: "v1", Epoch: 1, Shards: []model.ShardConfig{shard("s0"), shard("s1")},
			Limits: model.Limits{Slots: 1, Connections: 2, ColdSlots: 1, WarmAfter: 1}}},
	}}}
	return &model.View{
		Self: "a", Boot: 1,
		Config: &model.ConfigView{Templates: map[model.CustomerID]*model.Template{"c": t}},
		Peers:  map[model.VM]model.Peer{"a": {VM: "a", Boot: 1, Alive: true}, "b": {VM: "b", Boot: 2, Alive: true}},
		Owners: map[model.ShardKey]model.Owner{key("s0"): {VM: "a", Boot: 1}, key("s1"): {VM: "b", Boot: 2}},
		Leases: map[model.ShardKey]model.Lease{key("s0"): {Until: model.Never, Term: 1, Clean: true}},
	}
}

// TestPeerLostDirection guards against mixing up the two connections with a peer. If the connection
// to the peer as owner breaks, the sub-requests that the peer has sent as entry daemon must keep
// running. If the other connection breaks, the sub-requests sent to the peer must stay pending.
func TestPeerLostDirection(t *testing.T) {
	for _, tc := range []struct {
		name               string
		lost               event.Connection
		refused, cancelled bool
	}{
		{"to the owner", event.ConnectionOut, true, false},
		{"from the entry daemon", event.ConnectionIn, false, true},
		{"both", event.ConnectionBoth, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := NewTraffic(Config{Self: "a", Boot: 1, Seed: 1})
			v := peerLostView()
			Reduce(s, event.ViewPublished{View: v}, 1)
			key := model.ShardKey{Route: model.Route{Customer: "c", Route: "r"}, Version: "v1", Shard: "s0"}
			started := hasEffect[effect.StartAttempt](Reduce(s, event.SubRequestsReceived{Requests: []model.SubRequest{{
				Query: 9, Run: 1, Entry: "b", Key: key, Kind: model.KindRead, Epoch: 1, Owner: v.Owners[key], Budget: 1e9,
			}}}, 2))
			is.True(started)
			sent := hasEffect[effect.SendSubRequests](Reduce(s, event.RequestReceived{Request: model.Request{
				Query: 1, Route: key.Route, Kind: model.KindSubmit, Shard: "s1", MinCoverage: -1,
			}}, 3))
			is.True(sent)
			out := Reduce(s, event.PeerLost{VM: "b", Connection: tc.lost}, 4)
			is.Equal(hasEffect[effect.ReplyCaller](out), tc.refused)
			is.Equal(hasEffect[effect.CancelAttempt](out), tc.cancelled)
		})
	}
}

func hasEffect[T effect.Effect](list []effect.Effect) bool {
	for _, e := range list {
		if _, ok := e.(T); ok {
			return true
		}
	}
	return false
}
