package model

// View is what traffic workers know of the deployment. Control publishes a new one
// at each change; nothing in it is changed afterwards.
type View struct {
	Self   VM
	Boot   Boot
	Config *ConfigView
	Peers  map[VM]Peer
	Owners map[ShardKey]Owner // who is believed to own each shard key
	Leases map[ShardKey]Lease // shard keys that this VM may dispatch for
	// Leaving is set as soon as this VM leaves or its zone is out: it reports not ready.
	Leaving bool
	// Draining is set some time later, when the balancer has noticed: new requests are refused.
	Draining bool
}

// Peer is another daemon.
type Peer struct {
	VM      VM
	Boot    Boot
	Zone    AvailabilityZone
	Address string // host:port for messages between daemons
	Alive   bool
}

// Owner is the VM believed to own a shard key, with its boot.
type Owner struct {
	VM   VM
	Boot Boot
}

// Lease permits this VM to dispatch attempts for a shard key until a time.
type Lease struct {
	Until Time
	Term  uint64 // rises each time this VM gains the key anew
	// Clean is set when the previous owner released the key, so that its running attempts
	// and cold-start states are known; else every backend server starts at its cold-start bound.
	Clean bool
	// Running lists attempts of the previous owner that may still occupy slots.
	Running []RunningAttempt
	// Submits are the idempotency keys that the previous owner had seen; complete only if Clean.
	Submits []SeenSubmit
	// Servers are the cold-start states at the previous owner, used only if Clean. A backend
	// server that is not listed starts cold.
	Servers []ServerState
}

// ServerState is the cold-start state of one backend server as its owner knows it.
type ServerState struct {
	Server    BackendServerID
	Boot      Boot // last one seen in a reply, 0 if none
	Limit     int  // attempts that may be in flight
	Successes int  // counted at that limit
}

// SeenSubmit is an idempotency key of a submit seen by a previous owner.
type SeenSubmit struct {
	Dedupe string
	Seen   Time // local time at which it was seen
	NotRun bool // the submit is known not to have run
}

// RunningAttempt is an attempt of a previous owner that may still occupy a slot.
type RunningAttempt struct {
	Server BackendServerID
	Until  Time // local time after which it no longer counts
}

// ConfigView is the configuration in force.
type ConfigView struct {
	Digest    uint64 // changes whenever any object changes
	Revision  uint64 // highest object version applied
	Templates map[CustomerID]*Template
	ZonesOut  map[AvailabilityZone]bool
	Paused    bool
	Shares    map[Route]VersionShare
}

// VersionShare says how the queries of a route are split while a move runs.
type VersionShare struct {
	Move     string
	From, To VersionID
	Share    float64 // share of queries to To, 0 to 1
}

// Route returns the configuration of a route.
func (c *ConfigView) Route(r Route) (*RouteConfig, bool) {
	t, ok := c.Templates[r.Customer]
	if !ok {
		return nil, false
	}
	for i := range t.Routes {
		if t.Routes[i].ID == r.Route {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// ShardOf returns the shard of a key together with its route and version.
func (c *ConfigView) ShardOf(k ShardKey) (*RouteConfig, *VersionConfig, *ShardConfig, bool) {
	r, ok := c.Route(k.Route)
	if !ok {
		return nil, nil, nil, false
	}
	v, ok := r.Version(k.Version)
	if !ok {
		return nil, nil, nil, false
	}
	for i := range v.Shards {
		if v.Shards[i].ID == k.Shard {
			return r, v, &v.Shards[i], true
		}
	}
	return nil, nil, nil, false
}

// Usable reports whether a backend server may receive new attempts for a customer.
func (c *ConfigView) Usable(customer CustomerID, b *BackendServer) bool {
	if b.Leaving || c.ZonesOut[b.Zone] {
		return false
	}
	t, ok := c.Templates[customer]
	if !ok {
		return false
	}
	if len(t.AllowedZones) == 0 {
		return true
	}
	for _, z := range t.AllowedZones {
		if z == b.Zone {
			return true
		}
	}
	return false
}
