package model

// View is the view that the control state publishes to the traffic workers. It is immutable; the
// control state publishes a new one at each change.
type View struct {
	Self   VM
	Boot   Boot
	Config *ConfigView
	Peers  map[VM]Peer
	Owners map[ShardKey]Owner // owner of each shard key as far as this VM knows; can be out of date
	Leases map[ShardKey]Lease // shard keys for which this VM may dispatch attempts
	// Leaving is set as soon as this VM starts to leave or its zone is taken out of service. The
	// daemon then reports that it is not ready.
	Leaving bool
	// Draining is set after Leaving, once the load balancer has had time to notice. The daemon
	// then refuses new requests.
	Draining bool
}

// Peer describes one daemon as seen by this VM.
type Peer struct {
	VM      VM
	Boot    Boot
	Zone    AvailabilityZone
	Address string // host:port for messages between daemons
	Alive   bool   // whether the last heartbeat is recent enough to send requests to the daemon
}

// Owner identifies the owner of a shard key by its VM and boot.
type Owner struct {
	VM   VM
	Boot Boot
}

// Lease permits this VM to dispatch attempts for a shard key until its expiry.
type Lease struct {
	Until Time   // time at which the lease expires
	Term  uint64 // increases each time this VM becomes the owner of the key
	// Clean is set if the previous owner released the key, so that its running attempts and the
	// cold-start states of its backend servers are known. Otherwise every backend server starts
	// at its cold-start limit.
	Clean bool
	// Running lists attempts of the previous owner that may still occupy slots.
	Running []RunningAttempt
	// Submits lists the idempotency keys that the previous owner had received. The list is
	// complete only if Clean is set.
	Submits []SeenSubmit
	// Servers lists the cold-start states that the previous owner had recorded. It is used only
	// if Clean is set. A backend server that is not listed starts cold.
	Servers []ServerState
}

// ServerState is the cold-start state of one backend server as recorded by the owner of its key.
type ServerState struct {
	Server    BackendServerID
	Boot      Boot // boot in the server's last reply, 0 if none
	Limit     int  // maximum number of attempts in flight
	Successes int  // number of successful attempts since Limit was set
}

// SeenSubmit is the idempotency key of a submit that a previous owner received.
type SeenSubmit struct {
	Dedupe string // idempotency key
	Seen   Time   // time on this VM's clock at which the submit was received
	NotRun bool   // whether it is certain that the submit was not run
}

// RunningAttempt is an attempt of a previous owner that may still occupy a slot.
type RunningAttempt struct {
	Server BackendServerID
	Until  Time // time on this VM's clock after which the attempt is no longer counted
}

// ConfigView is the configuration in force.
type ConfigView struct {
	Digest    uint64 // hash of all objects in force; changes when any of them changes
	Revision  uint64 // highest object version in force
	Templates map[CustomerID]*Template
	ZonesOut  map[AvailabilityZone]bool // zones that operators have taken out of service
	Paused    bool                      // whether automatic actions are paused
	Shares    map[Route]VersionShare    // routes whose traffic a move directs
}

// VersionShare describes how a move splits the queries of a route between two versions.
type VersionShare struct {
	Move     string
	From, To VersionID
	Share    float64 // share of the queries that go to To, 0 to 1
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

// ShardOf returns the route, version and shard of a key. The last result is false if one of them
// is not configured.
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

// Usable reports whether a backend server may receive new attempts for a customer. It may not while
// it drains, while its zone is out, or if the customer's template does not allow the zone.
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
