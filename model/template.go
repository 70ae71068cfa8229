package model

import "time"

// Class orders requests by importance within a route's owners; lower values are
// served first and shed last.
type Class uint8

// Kind says what a request asks for and whether it may be repeated.
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
	Address string // host:port by IP number
	Leaving bool   // draining: receives no new attempts
}

// Limits bounds the load on each backend server of a route version.
type Limits struct {
	Slots       int           // attempts that may run at once on a warm server
	Connections int           // connections that the server accepts in all
	ConnectCost time.Duration // time to open a new connection
	ColdSlots   int           // attempts that may run at once on a server in cold start
	WarmAfter   int           // completed attempts after which a cold server may be ramped up
}

// ShardConfig lists the replicas of one shard.
type ShardConfig struct {
	ID       ShardID
	Replicas []BackendServer
}

// VersionConfig describes one version of a route: its partition map and limits.
// Epoch rises with every change of the shard list or the replicas.
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
	AttemptTimeout  time.Duration // longest time one attempt may run
	CoverageFloor   float64       // least share of shards for an answer that is not an error, 0 to 1
	Classes         []string      // priority classes, most important first
	DefaultClass    string
	StableVersion   VersionID // receives traffic when no move is under way
	Versions        []VersionConfig
	HedgePercentile float64 // quantile of attempt latency after which a hedge starts, 0 to 1
	HedgeBudget     float64 // extra attempts allowed per needed attempt, 0 to 1
}

// Template is what an operator applies for one customer.
type Template struct {
	Text         string // the text that the operator applied, JSON with comments
	Customer     CustomerID
	AllowedZones []AvailabilityZone
	Routes       []RouteConfig // sorted by ID
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
