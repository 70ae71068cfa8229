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

// newTestDaemon returns a daemon that has only the parts needed to publish views.
func newTestDaemon(workers int) *Daemon {
	d := &Daemon{metrics: newMeters(), backend: backend.NewHTTP(backend.Config{Self: "vm-a"})}
	d.network = peer.New(peer.Config{Self: "vm-a"}, nil)
	d.control = newControlLoop(d, nil)
	for i := range workers {
		d.workers = append(d.workers, newWorker(d, i, core.NewTraffic(core.Config{Self: "vm-a", Boot: 1})))
	}
	return d
}

// newTestView returns a view with leases for the given number of shard keys. Each route has 20
// shards, as the largest route of a deployment has.
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

// TestPublishSplitsLeases guards against a worker that receives leases of another worker's shard
// keys, and against leases that no worker receives.
func TestPublishSplitsLeases(t *testing.T) {
	for _, workers := range []int{1, 4} {
		t.Run(fmt.Sprint("workers=", workers), func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(workers)
			v := newTestView(136)
			d.control.publishView(v)
			total := 0
			for _, w := range d.workers {
				got := w.inbox.Take(nil)
				is.Equal(len(got), 1)
				part := got[0].(event.ViewPublished).View
				is.Equal(part.Owners, v.Owners)
				is.Equal(part.Config, v.Config)
				for key := range part.Leases {
					is.Equal(d.workerOfKey(key), w)
				}
				total += len(part.Leases)
			}
			is.Equal(total, 136)
			is.Equal(len(v.Leases), 136)
		})
	}
}

// BenchmarkPublish measures the time that the control goroutine needs to publish one view with 136
// keys: "shared" gives all workers the same view, "split" gives each worker only its own leases.
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
						spare = w.inbox.Take(spare)
					}
				}
			})
		}
		run("shared", func() {
			d.metrics.recordView(v)
			d.network.CloseExcept(v.Peers)
			for _, w := range d.workers {
				w.enqueue(event.ViewPublished{View: v})
			}
		})
		run("split", func() { d.control.publishView(v) })
	}
}

// BenchmarkApplyView measures the time that a worker needs to apply a view that only renews the
// leases.
func BenchmarkApplyView(b *testing.B) {
	v := newTestView(136)
	d := newTestDaemon(4)
	for _, c := range []struct {
		name string
		view *model.View
	}{{"shared", v}, {"split", d.splitView(v)[0]}} {
		b.Run(c.name, func(b *testing.B) {
			s := core.NewTraffic(core.Config{Self: "vm-a", Boot: 1})
			b.ReportAllocs()
			for b.Loop() {
				core.Reduce(s, event.ViewPublished{View: c.view}, 1)
			}
		})
	}
}
