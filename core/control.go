package core

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/automation"
	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/core/ownership"
	"github.com/gooseberrylock/gooseberrylock/core/zones"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Control is the control state of a daemon.
type Control struct {
	cfg               Config
	rng               *rand.Rand
	wall              time.Time
	leaving           bool // a graceful leave was requested
	leaveDone         bool // effect.Left has been emitted
	outOfService      bool // this VM is leaving or its zone is out
	outOfServiceSince model.Time

	members *membership.Tracker
	keys    *ownership.Holder
	config  *config.Cache
	moves   *moves.Controller

	storeRosterVersion uint64     // highest roster version read from or written to the store itself
	nextRosterRead     model.Time // earliest time of the next read of the roster

	configView   *model.ConfigView   // rebuilt when the configuration in force changes
	wantedShards int                 // number of shard keys in all templates
	revisions    map[model.VM]uint64 // highest object version in force on each peer
}

func newControl(cfg Config, now model.Time) *Control {
	members := membership.New(membership.Config{
		Self:              cfg.Self,
		Boot:              cfg.Boot,
		Group:             cfg.Group,
		Zone:              cfg.Zone,
		Address:           cfg.Address,
		HeartbeatInterval: cfg.HeartbeatInterval,
		Fence:             cfg.Fence,
		Grace:             cfg.Grace,
	}, now)
	cache := config.New(config.Config{Self: cfg.Self, Boot: cfg.Boot, WriteTimeout: cfg.WriteTimeout})
	return &Control{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		members:    members,
		keys:       ownership.New(members),
		config:     cache,
		moves:      moves.New(cfg.Self, cfg.Boot, cache),
		configView: &model.ConfigView{},
		revisions:  make(map[model.VM]uint64),
	}
}

// reduce applies one event and appends its effects to out.
func (c *Control) reduce(ev event.Event, now model.Time, out *effect.List) {
	c.recordStoreRoster(ev)
	changed := c.handle(ev, now, out)
	if changed {
		c.rebuildConfigView(now)
	}
	c.adoptRoster(now, out)
	c.updateOutOfService(now, out)
	c.keys.Update(now, out)
	if c.viewMayChange(ev, changed) {
		out.Add(effect.PublishView{View: c.view(now)})
	}
	if c.leaving && !c.leaveDone && c.keys.Abstained() {
		c.leaveDone = true
		out.Add(effect.Left{})
	}
}

// handle passes an event to the component that it concerns and reports whether the configuration in
// force may have changed.
func (c *Control) handle(ev event.Event, now model.Time, out *effect.List) bool {
	switch e := ev.(type) {
	case event.Tick:
		return c.tick(e, now, out)
	case event.HeartbeatReceived:
		c.members.Heartbeat(&e.Heartbeat, now)
		c.revisions[e.Heartbeat.From] = e.Heartbeat.Revision
		c.moves.Heartbeat(&e.Heartbeat, now, out)
		return c.config.Heartbeat(&e.Heartbeat, now, out)
	case event.VMsListed:
		c.members.Listed(e.VMs, now)
	case event.ObjectsReceived:
		return c.config.Received(e, now, out)
	case event.StoreFailed:
		c.config.StoreFailed(e, now, out)
	case event.PullFailed:
		c.config.PullFailed(e, now, out)
	case event.WriteDone:
		return c.config.WriteDone(e, now, out)
	case event.MoveOutcomes:
		c.moves.Outcomes(e, now, out)
	case event.KeyDrained:
		c.keys.HandleDrained(e, now, out)
	case event.ReleaseReceived:
		c.keys.HandleRelease(&e.Release, now, out)
	case event.LeaveRequested:
		c.leaving = true
	case event.OperatorCommand:
		c.command(e, now, out)
		return true
	}
	return false
}

func (c *Control) rosterKey() model.ObjectKey {
	return model.ObjectKey{Kind: model.ObjectRoster, Name: c.cfg.Group}
}

// recordStoreRoster records the roster version in an event that carries objects from the store
// itself, as opposed to objects from a peer.
func (c *Control) recordStoreRoster(ev event.Event) {
	var objects []model.Object
	switch e := ev.(type) {
	case event.ObjectsReceived:
		if e.FromStore {
			objects = e.Objects
		}
	case event.WriteDone:
		if e.Outcome == event.WriteOK || e.Outcome == event.WriteConflict {
			objects = []model.Object{e.Object}
		}
	}
	for i := range objects {
		if objects[i].Key == c.rosterKey() {
			c.storeRosterVersion = max(c.storeRosterVersion, objects[i].Version)
		}
	}
}

// adoptRoster passes the cached roster to membership. The first roster after a start must have been
// read from the store or be in use by a majority of its VMs. A peer may still have an old roster. If
// restarted VMs adopted it, a majority of the old roster could exist at the same time as a majority
// of the current one.
// A VM that has the roster only from a peer reads it from the store, since most VMs keep no watch
// open.
func (c *Control) adoptRoster(now model.Time, out *effect.List) {
	o, ok := c.config.Get(c.rosterKey())
	if !ok {
		return
	}
	confirmed := c.members.Roster() != nil || c.storeRosterVersion >= o.Version || c.members.InUse(o.Roster, now)
	if confirmed {
		c.members.SetRoster(o.Roster, now)
		return
	}
	if now >= c.nextRosterRead {
		c.nextRosterRead = now.Add(rosterReadInterval)
		out.Add(effect.ReadObject{Key: c.rosterKey()})
	}
}

// rosterReadInterval is the time between two reads of the roster by a VM that has no confirmed roster
// after its start.
const rosterReadInterval = time.Second

// viewMayChange reports whether the event may have changed the view. Leases that heartbeats renew are
// published with the next tick, which is early enough since the tick interval is much shorter than
// Fence.
func (c *Control) viewMayChange(ev event.Event, changed bool) bool {
	if changed {
		return true
	}
	switch ev.(type) {
	case event.Tick, event.ReleaseReceived, event.KeyDrained, event.LeaveRequested:
		return true
	}
	return false
}

func (c *Control) tick(e event.Tick, now model.Time, out *effect.List) bool {
	c.wall = e.Wall
	live := c.members.Live(now)
	changed := c.config.Tick(live, now, out)
	if c.moves.Tick(c.moveInput(live), now, out) {
		changed = true
	}
	if c.configView.Paused != automation.State(c.config, c.wall).Paused {
		changed = true
	}
	c.proposeRoster(now, out)
	if c.members.HeartbeatDue(now) {
		c.sendHeartbeats(now, out)
	}
	return changed
}

func (c *Control) moveInput(live []model.VM) moves.Input {
	return moves.Input{
		Wall:   c.wall,
		Paused: automation.State(c.config, c.wall).Paused,
		Live:   live,
	}
}

func (c *Control) proposeRoster(now model.Time, out *effect.List) {
	key := c.rosterKey()
	if c.config.Pending(key) || !c.config.StoreUp(now) {
		return
	}
	c.members.SetPaused(automation.State(c.config, c.wall).Paused)
	next, ok := c.members.NextRoster(now)
	if !ok {
		return
	}
	current, _ := c.config.Get(key)
	c.config.Write(0, model.Object{Key: key, Roster: next}, current.Version, now, out)
}

func (c *Control) sendHeartbeats(now model.Time, out *effect.List) {
	hb := c.members.ComposeHeartbeat(now)
	c.config.Fill(&hb)
	c.keys.FillHeartbeat(&hb)
	c.moves.AddEvidence(&hb)
	for _, p := range c.members.Targets(now) {
		out.Add(effect.SendHeartbeat{To: p.VM, Address: p.Address, Heartbeat: hb})
	}
}

func (c *Control) command(e event.OperatorCommand, now model.Time, out *effect.List) {
	in := c.moveInput(c.members.Live(now))
	switch cmd := e.Body.(type) {
	case event.ApplyTemplate:
		c.applyTemplate(e.Command, cmd, now, out)
	case event.SetZone:
		zones.Command(c.config, e.Command, e.By, cmd, c.wall, now, out)
	case event.SetPause:
		automation.Command(c.config, e.Command, e.By, cmd, c.wall, now, out)
	case event.StartMove:
		c.moves.Start(e.Command, e.By, cmd, in, now, out)
	case event.TakeBackMove:
		c.moves.TakeBack(e.Command, e.By, cmd, in, now, out)
	}
}

func (c *Control) applyTemplate(id uint64, cmd event.ApplyTemplate, now model.Time, out *effect.List) {
	t := cmd.Template
	obj := model.Object{
		Key:      model.ObjectKey{Kind: model.ObjectTemplate, Name: string(t.Customer)},
		Template: &t,
	}
	c.config.Write(id, obj, cmd.IfVersion, now, out)
}

// updateOutOfService starts the handover of all keys when this VM leaves or its zone is taken out.
// When the zone is brought back, it ends the handover and rejoins the group with a new boot.
func (c *Control) updateOutOfService(now model.Time, out *effect.List) {
	outOfService := c.leaving || c.configView.ZonesOut[c.cfg.Zone]
	if outOfService == c.outOfService {
		return
	}
	c.outOfService = outOfService
	c.outOfServiceSince = now
	if !outOfService {
		c.members.Rejoin(model.Boot(c.rng.Uint64()|1), now)
	}
	c.keys.SetLeaving(outOfService, now, out)
}

// rebuildConfigView derives the configuration view and the shard keys that need an owner from the
// cache. It also drops the recorded revisions of VMs that are no longer peers.
func (c *Control) rebuildConfigView(now model.Time) {
	v := &model.ConfigView{
		Digest:    c.config.Digest(),
		Revision:  c.config.Revision(),
		Templates: make(map[model.CustomerID]*model.Template),
		ZonesOut:  zones.Out(c.config),
		Paused:    automation.State(c.config, c.wall).Paused,
		Shares:    c.moves.Shares(),
	}
	for _, o := range c.config.All(model.ObjectTemplate) {
		v.Templates[o.Template.Customer] = o.Template
	}
	c.configView = v
	keys := templateKeys(c.config.All(model.ObjectTemplate))
	c.wantedShards = len(keys)
	peers := c.members.Peers(now)
	maps.DeleteFunc(c.revisions, func(vm model.VM, _ uint64) bool {
		_, known := peers[vm]
		return !known
	})
	c.keys.SetKeys(keys, now)
}

// ownedKeys returns all shard keys of the templates, in the order of the templates.
func templateKeys(templates []model.Object) []ownership.Key {
	var keys []ownership.Key
	for _, o := range templates {
		for i := range o.Template.Routes {
			keys = appendRouteKeys(keys, o.Version, o.Template.Customer, &o.Template.Routes[i])
		}
	}
	return keys
}

func appendRouteKeys(keys []ownership.Key, revision uint64, customer model.CustomerID, r *model.RouteConfig) []ownership.Key {
	for _, v := range r.Versions {
		for _, s := range v.Shards {
			k := ownership.Key{
				Key: model.ShardKey{
					Route:   model.Route{Customer: customer, Route: r.ID},
					Version: v.ID,
					Shard:   s.ID,
				},
				AttemptTimeout: r.AttemptTimeout,
				Revision:       revision,
			}
			for _, b := range s.Replicas {
				k.Zones = append(k.Zones, b.Zone)
			}
			keys = append(keys, k)
		}
	}
	return keys
}

func (c *Control) view(now model.Time) *model.View {
	return &model.View{
		Self:     c.cfg.Self,
		Boot:     c.members.Boot(),
		Config:   c.configView,
		Peers:    c.members.Peers(now),
		Owners:   c.keys.Owners(now),
		Leases:   c.keys.Leases(now),
		Leaving:  c.outOfService,
		Draining: c.outOfService && now.Sub(c.outOfServiceSince) >= c.cfg.DrainDelay,
	}
}
