package gooseberrylock

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/backend"
	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer"
)

// newTestDaemon returns a daemon of which only the parts that publish views exist.
func newTestDaemon(workers int) *Daemon {
	d := &Daemon{metrics: newMeters(), backend: backend.NewHTTP(backend.Config{Self: "vm-a"})}
	d.network = peer.New(peer.Config{Self: "vm-a"}, nil)
	d.control = newControlLoop(d, nil)
	for i := range workers {
		d.workers = append(d.workers, newWorker(d, i, core.NewTraffic(core.Config{Self: "vm-a", Boot: 1})))
	}
	return d
}

// newTestView returns a view with leases for all keys. Routes have 20 shards, as on the
// largest route.
func newTestView(keys int) *model.View {
	const routeShards = 20
	v := &model.View{
		Self:   "vm-a",
		Boot:   1,
		Config: &model.ConfigView{Digest: 1, Templates: map[model.CustomerID]*model.Template{}},
		Owners: map[model.ShardKey]model.Owner{},
		Leases: map[model.ShardKey]model.Lease{},
	}
	t := &model.Template{Customer: "haugland"}
	for i := range keys {
		if i%routeShards == 0 {
			t.Routes = append(t.Routes, model.RouteConfig{
				ID:       model.RouteID(fmt.Sprint("route-", i/routeShards)),
				Versions: []model.VersionConfig{{ID: "v1", Epoch: 1, Limits: model.Limits{Slots: 3, Connections: 30, ColdSlots: 1}}},
			})
		}
		route := &t.Routes[len(t.Routes)-1]
		key := model.ShardKey{
			Route:   model.Route{Customer: t.Customer, Route: route.ID},
			Version: "v1",
			Shard:   model.ShardID(fmt.Sprintf("s%02d", i%routeShards)),
		}
		shard := model.ShardConfig{ID: key.Shard}
		for replica := range 2 {
			id := model.BackendServerID(fmt.Sprint(key, "/", replica))
			shard.Replicas = append(shard.Replicas, model.BackendServer{ID: id, Zone: "a"})
		}
		route.Versions[0].Shards = append(route.Versions[0].Shards, shard)
		v.Owners[key] = model.Owner{VM: "vm-a", Boot: 1}
		v.Leases[key] = model.Lease{Until: model.Never, Term: 1}
	}
	v.Config.Templates[t.Customer] = t
	return v
}

// TestPublishSplitsLeases guards workers against state for keys of other workers, and keys
// against being left without a worker.
func TestPublishSplitsLeases(t *testing.T) {
	for _, workers := range []int{1, 4} {
		t.Run(fmt.Sprint("workers=", workers), func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(workers)
			v := newTestView(136)
			d.control.publish(v)
			total := 0
			for _, w := range d.workers {
				got := w.box.Take(nil)
				is.Equal(len(got), 1)
				part := got[0].(event.ViewPublished).View
				is.Equal(part.Owners, v.Owners)
				is.Equal(part.Config, v.Config)
				for key := range part.Leases {
					is.Equal(d.workerOf(key), w)
				}
				total += len(part.Leases)
			}
			is.Equal(total, 136)
			is.Equal(len(v.Leases), 136)
		})
	}
}

// BenchmarkPublish measures the control goroutine's part of one view with 136 keys: shared
// by the workers, as before leases were split, and split.
func BenchmarkPublish(b *testing.B) {
	v := newTestView(136)
	for _, workers := range []int{1, 4} {
		d := newTestDaemon(workers)
		var spare []event.Event
		run := func(name string, publish func()) {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					publish()
					for _, w := range d.workers {
						spare = w.box.Take(spare)
					}
				}
			})
		}
		run("shared", func() {
			d.metrics.view(v)
			d.network.Forget(v.Peers)
			for _, w := range d.workers {
				w.put(event.ViewPublished{View: v})
			}
		})
		run("split", func() { d.control.publish(v) })
	}
}

// BenchmarkApplyView measures the worker's part: one view that only renews the leases.
func BenchmarkApplyView(b *testing.B) {
	v := newTestView(136)
	d := newTestDaemon(4)
	for _, c := range []struct {
		name string
		view *model.View
	}{{"shared", v}, {"split", d.viewsByWorker(v)[0]}} {
		b.Run(c.name, func(b *testing.B) {
			s := core.NewTraffic(core.Config{Self: "vm-a", Boot: 1})
			b.ReportAllocs()
			for b.Loop() {
				core.Reduce(s, event.ViewPublished{View: c.view}, 1)
			}
		})
	}
}
