package vtime

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Cluster is a set of daemons together with the simulated object store, backend servers and links.
type Cluster struct {
	Sched   *Scheduler
	Links   *Links
	Store   *Store
	Nodes   []*Node
	Servers map[model.BackendServerID]*Server
	Zones   []model.AvailabilityZone

	Attempts int
	Hedges   int
	Counts   map[string]int64
	Logs     []string

	AfterEvent    func(*Node)                       // called after a traffic worker has handled an event
	OnAttempt     func(*Node, *effect.StartAttempt) // called when a daemon sends an attempt
	HeartbeatSize func(*event.Heartbeat) int        // returns the encoded size in bytes; nil if bytes are not counted
	lastCommand   uint64
	epoch         time.Time
}

// Config describes a cluster.
type Config struct {
	Seed      uint64
	Daemons   int
	Zones     []model.AvailabilityZone
	LinkDelay time.Duration // one-way delay between daemons
}

// NewCluster creates the daemons at virtual time 0. Nothing happens until Run is called.
func NewCluster(cfg Config) *Cluster {
	s := NewScheduler(cfg.Seed)
	c := &Cluster{
		Sched:   s,
		Links:   &Links{sched: s, Delay: cfg.LinkDelay, cut: make(map[[2]model.VM]bool)},
		Store:   newStore(s),
		Servers: make(map[model.BackendServerID]*Server),
		Zones:   cfg.Zones,
		Counts:  make(map[string]int64),
		epoch:   time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC),
	}
	for i := range cfg.Daemons {
		c.AddNode(model.VM(fmt.Sprintf("entry-%d", i)), cfg.Zones[i%len(cfg.Zones)])
	}
	c.publishVMList()
	return c
}

// Wall returns the wall-clock time that corresponds to the current virtual time.
func (c *Cluster) Wall() time.Time { return c.epoch.Add(c.Sched.Now()) }

// AddNode starts a daemon. It replaces a daemon with the same name.
func (c *Cluster) AddNode(vm model.VM, zone model.AvailabilityZone) *Node {
	cfg := core.Config{
		Self:    vm,
		Boot:    model.Boot(c.Sched.Rand.Uint64() | 1),
		Group:   "group",
		Zone:    zone,
		Address: string(vm),
		Seed:    c.Sched.Rand.Uint64(),
	}
	n := &Node{
		cluster: c, VM: vm, Zone: zone, startedAt: c.Sched.Now(), config: cfg,
		control:  core.NewControl(cfg, 0),
		traffic:  core.NewTraffic(cfg),
		cancels:  make(map[model.AttemptID]func()),
		queries:  make(map[model.QueryID]func(effect.ReplyCaller)),
		commands: make(map[uint64]func(effect.CommandResult)),
	}
	c.Nodes = slices.DeleteFunc(c.Nodes, func(o *Node) bool { return o.VM == vm })
	c.Nodes = append(c.Nodes, n)
	slices.SortFunc(c.Nodes, func(a, b *Node) int { return cmp.Compare(a.VM, b.VM) })
	// A random first tick keeps the ticks of different daemons from coinciding.
	c.Sched.After(time.Duration(c.Sched.Rand.Int64N(int64(core.DefaultTickInterval))), n.tick)
	return n
}

// vmListDelay is how old the platform's list of VMs is when the daemons receive it.
const vmListDelay = 3 * time.Second

// publishVMList takes a list of the VMs and sends it to every daemon after vmListDelay. It repeats
// this every 5 s. The list does not depend on the store.
func (c *Cluster) publishVMList() {
	var list []event.ListedVM
	for _, n := range c.Nodes {
		if !n.crashed {
			list = append(list, event.ListedVM{VM: n.VM, Zone: n.Zone, Address: string(n.VM), Leaving: n.leaving})
		}
	}
	deliver := func() {
		for _, n := range c.Nodes {
			n.deliver(func() { n.toControl(event.VMsListed{VMs: list}) })
		}
	}
	if c.Sched.Now() == 0 {
		c.Sched.After(0, deliver)
	}
	c.Sched.After(vmListDelay, deliver)
	c.Sched.After(5*time.Second, c.publishVMList)
}

// Run advances virtual time by d.
func (c *Cluster) Run(d time.Duration) { c.Sched.RunUntil(c.Sched.Now() + d) }

func (c *Cluster) node(vm model.VM) *Node {
	for _, n := range c.Nodes {
		if n.VM == vm {
			return n
		}
	}
	return nil
}

// Node returns the daemon with the given name, or nil.
func (c *Cluster) Node(vm model.VM) *Node { return c.node(vm) }

// VMs returns the names of all daemons except one.
func (c *Cluster) VMs(except model.VM) []model.VM {
	var list []model.VM
	for _, n := range c.Nodes {
		if n.VM != except {
			list = append(list, n.VM)
		}
	}
	return list
}

// sendToNode sends a message from one daemon to another. A message to itself has no delay.
func (c *Cluster) sendToNode(from *Node, to model.VM, f func(*Node)) {
	if from.VM == to {
		c.Sched.After(0, func() { from.deliver(func() { f(from) }) })
		return
	}
	c.Links.send(from.VM, to, func() {
		if o := c.node(to); o != nil {
			o.deliver(func() { f(o) })
		}
	})
}

// maxLogs is the maximum number of log lines that a run keeps.
const maxLogs = 10000

func (c *Cluster) log(n *Node, l effect.Log) {
	if len(c.Logs) < maxLogs {
		c.Logs = append(c.Logs, fmt.Sprintf("%v %s %s: %s (%s) %v", c.Sched.Now(), n.VM, l.Step, l.Message, l.Peer, l.Fields))
	}
}

// LiveNodes returns the daemons that have not crashed and have not started to leave.
func (c *Cluster) LiveNodes() []*Node {
	var list []*Node
	for _, n := range c.Nodes {
		if !n.crashed && !n.leaving {
			list = append(list, n)
		}
	}
	return list
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
