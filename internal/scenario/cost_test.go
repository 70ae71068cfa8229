package scenario

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer"
)

// controlCost is the cost of the control state of one daemon in a group without traffic.
type controlCost struct {
	eventsPerSecond float64
	microsPerEvent  float64
	coreShare       float64 // share of a processor core, 0 to 1
	heartbeatBytes  float64
	bytesPerSecond  float64 // heartbeat bytes sent
	storeCalls      float64 // of the whole group, per second
	heapBytes       float64 // per daemon
}

// measureControl runs a group without traffic and measures the cost of one daemon. The processor time
// includes the simulated store and links, so it is an upper bound.
func measureControl(daemons, templates, shardsPerTemplate int) controlCost {
	const span = 20 * time.Second
	before := heapAlloc()
	zones := vtime.Haugland().Zones
	c := vtime.NewCluster(vtime.Config{Seed: 1, Daemons: daemons, Zones: zones, LinkDelay: time.Millisecond})
	c.HeartbeatSize = func(hb *event.Heartbeat) int { return proto.Size(peer.HeartbeatToPB(hb)) }
	for i := range templates {
		d := vtime.Deployment{
			Customer: model.CustomerID(fmt.Sprintf("customer-%d", i)),
			Zones:    zones,
			Routes:   []vtime.RouteSize{{Route: "search", Shards: shardsPerTemplate, Replicas: 2, Timeout: time.Second, AttemptTimeout: 500 * time.Millisecond, Limits: vtime.Haugland().Routes[0].Limits}},
		}
		t := d.Template("v1")
		c.Store.Set(model.Object{Key: model.ObjectKey{Kind: model.ObjectTemplate, Name: string(d.Customer)}, Template: t})
	}
	c.Run(10 * time.Second)
	n := c.Nodes[0]
	events, bytes, heartbeats, calls := n.Events, n.HeartbeatBytes, n.HeartbeatsSent, c.Store.Calls
	all := 0
	for _, o := range c.Nodes {
		all -= o.Events
	}
	start := time.Now()
	c.Run(span)
	took := time.Since(start)
	for _, o := range c.Nodes {
		all += o.Events
	}
	cost := controlCost{
		eventsPerSecond: float64(n.Events-events) / span.Seconds(),
		microsPerEvent:  float64(took.Microseconds()) / float64(all),
		bytesPerSecond:  float64(n.HeartbeatBytes-bytes) / span.Seconds(),
		storeCalls:      float64(c.Store.Calls-calls) / span.Seconds(),
		heapBytes:       float64(heapAlloc()-before) / float64(daemons),
	}
	cost.coreShare = cost.eventsPerSecond * cost.microsPerEvent / 1e6
	if sent := n.HeartbeatsSent - heartbeats; sent > 0 {
		cost.heartbeatBytes = float64(n.HeartbeatBytes-bytes) / float64(sent)
	}
	runtime.KeepAlive(c)
	return cost
}

func heapAlloc() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestControlCostTable prints the measurements from which the slopes in docs/CAPACITY.md are
// calculated.
func TestControlCostTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "| daemons in group\t| templates\t| shard keys\t| events/s\t| µs/event\t| share of a core\t| heartbeat bytes\t| bytes/s sent\t| store calls/s of the group\t| heap KB/daemon\t|")
	fmt.Fprintln(out, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range []struct{ daemons, templates, shards int }{
		{3, 2, 50}, {6, 2, 50}, {9, 2, 50}, {9, 2, 200}, {9, 20, 50}, {9, 100, 20}, {16, 2, 50}, {32, 2, 50}, {64, 2, 50},
	} {
		m := measureControl(c.daemons, c.templates, c.shards)
		fmt.Fprintf(out, "| %d\t| %d\t| %d\t| %.0f\t| %.1f\t| %.4f\t| %.0f\t| %.0f\t| %.2f\t| %.0f\t|\n", c.daemons, c.templates,
			c.templates*c.shards, m.eventsPerSecond, m.microsPerEvent, m.coreShare, m.heartbeatBytes, m.bytesPerSecond, m.storeCalls, m.heapBytes/1024)
	}
}
