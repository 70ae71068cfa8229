package model

import "time"

// Class is the priority class of a request, an index into RouteConfig.Classes. Owners serve lower
// values first and shed them last.
type Class uint8

// Kind is the kind of a request. It determines which shards the request reads or changes and
// whether it may be sent more than once.
type Kind uint8

// Kinds of request.
const (
	KindSearch Kind = iota // all shards of a route; idempotent
	KindRead               // one shard of a route; idempotent
	KindSubmit             // one shard of a route; must run at most once
)

// Idempotent reports whether the request may be sent more than once.
func (k Kind) Idempotent() bool { return k != KindSubmit }

// String returns the name used on the wire and in logs.
func (k Kind) String() string {
	switch k {
	case KindSearch:
		return "search"
	case KindRead:
		return "read"
	case KindSubmit:
		return "submit"
	}
	return "unknown"
}

// BackendServer is one replica of a shard.
type BackendServer struct {
	ID      BackendServerID
	Zone    AvailabilityZone
	Address string // IP address and port
	Leaving bool   // whether the server is draining and receives no new attempts
}

// Limits limits the load on each backend server of a version of a route.
type Limits struct {
	Slots       int           // maximum number of concurrent attempts on a server after its cold start
	Connections int           // maximum number of connections that a server accepts in total
	ConnectCost time.Duration // time to open a new connection
	ColdSlots   int           // maximum number of concurrent attempts on a server at the beginning of its cold start
	WarmAfter   int           // minimum number of successful attempts at the ColdSlots limit before the limit is raised
}

// ShardConfig lists the replicas of one shard.
type ShardConfig struct {
	ID       ShardID
	Replicas []BackendServer
}

// VersionConfig describes one version of a route: its partition map and limits.
// Epoch increases with every change of the shard list or the replicas.
type VersionConfig struct {
	ID     VersionID
	Epoch  uint64
	Limits Limits
	Shards []ShardConfig // sorted by ID
}

// RouteConfig describes one route of a customer.
type RouteConfig struct {
	ID              RouteID
	Timeout         time.Duration // default deadline of a request
	AttemptTimeout  time.Duration // maximum duration of one attempt
	CoverageFloor   float64       // minimum share of the shards in an answer, 0 to 1, unless the request sets MinCoverage
	Classes         []string      // names of the priority classes, most important first
	DefaultClass    string        // class of requests that name none
	StableVersion   VersionID     // version that receives the traffic while no move directs it
	Versions        []VersionConfig
	HedgePercentile float64 // quantile of the attempt latency after which a hedge starts, 0 to 1
	HedgeBudget     float64 // hedges allowed per needed attempt, 0 to 1
}

// Template is the configuration that an operator applies for one customer.
type Template struct {
	Text         string // text that the operator applied, JSON with comments
	Customer     CustomerID
	AllowedZones []AvailabilityZone // zones whose backend servers may be used; empty for all zones
	Routes       []RouteConfig      // sorted by ID
}

// Version returns the version with the given ID.
func (r *RouteConfig) Version(id VersionID) (*VersionConfig, bool) {
	for i := range r.Versions {
		if r.Versions[i].ID == id {
			return &r.Versions[i], true
		}
	}
	return nil, false
}

// ClassOf returns the class with the given name, or the default class for "".
func (r *RouteConfig) ClassOf(name string) (Class, bool) {
	if name == "" {
		name = r.DefaultClass
	}
	for i, c := range r.Classes {
		if c == name {
			return Class(i), true
		}
	}
	return 0, false
}
