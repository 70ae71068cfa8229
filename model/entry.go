package model

import (
	"fmt"
	"strings"
	"time"
)

// ReplicaSet names backend servers that answer equally well: one shard of a gathered route,
// or all servers of a route that reads one.
type ReplicaSet string

// EntryRoute is one route that an entry VM serves for outside callers. Requests and answers
// are opaque bytes.
type EntryRoute struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool
	// Timeout is the longest time that a caller may be kept waiting; 0 means no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth; 0 if none is stated.
	Target      time.Duration
	Priority    int // 0 is the highest
	MaxAttempts int // backend servers that one request may be sent to, for each shard
	// Split lists the replica sets of a route that reads one server, with their weights.
	Split []WeightedSet
	// Shards lists the replica sets of a gathered route; empty otherwise.
	Shards      []ReplicaSet
	TopK        int     // records in a gathered answer
	MinCoverage float64 // least share of the shards in a gathered answer
}

// Gathers reports whether an answer is put together from all shards.
func (r *EntryRoute) Gathers() bool { return len(r.Shards) > 0 }

// Matches reports whether a request's host and path belong to the route.
func (r *EntryRoute) Matches(host, path string) bool {
	return strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix)
}

// WeightedSet is a replica set with its share of a route's requests.
type WeightedSet struct {
	Set    ReplicaSet
	Weight float64
}

// SetConfig is what the configuration says about the servers of a replica set.
type SetConfig struct {
	MaxConns int // connections that one server takes from all VMs
	// Warmup is how long a server is cold after its start.
	Warmup time.Duration
	// ColdRate bounds the requests a second to a cold server, over all VMs; 0 means no bound.
	ColdRate float64
}

// EntryLimits bounds what a caller may send, and how slowly.
type EntryLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// EntryConfig is one version of the configuration of the entry VMs.
type EntryConfig struct {
	Version  uint64 // increases with each change
	Revision uint64 // of the object in the store
	Routes   []EntryRoute
	Sets     map[ReplicaSet]SetConfig
	Limits   EntryLimits
}

// Replica is a backend server as it registers itself.
type Replica struct {
	ID         BackendServerID
	Set        ReplicaSet
	Address    string // IP and port
	Zone       AvailabilityZone
	Version    VersionID
	Slots      int  // requests that it runs at the same time
	Draining   bool // it is about to leave
	WarmupLeft time.Duration
	StartedAt  time.Time // start of the process
	Sequence   uint64    // of its registrations, counted from its start
}

// Rollout is an operator's order to move a replica set to another version in time.
type Rollout struct {
	Name     string // of the object in the store
	Set      ReplicaSet
	Target   VersionID
	Duration time.Duration // from the order to the deadline
	State    RolloutState
	Revision uint64 // of the object in the store
	Created  uint64 // revision at which the object was created
	// Withheld means that the evidence speaks against the target version, whatever the store
	// says yet.
	Withheld bool
}

// Order identifies the order. A new order for the same set has another one.
func (r *Rollout) Order() string {
	return fmt.Sprintf("%s/%d/%s", r.Set, r.Created, r.Target)
}

// RolloutState is where a rollout stands.
type RolloutState uint8

// The states of a rollout.
const (
	RolloutOrdered RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

var rolloutStateNames = [...]string{"ordered", "running", "completed", "rolled back"}

// String implements fmt.Stringer.
func (s RolloutState) String() string { return rolloutStateNames[s] }

// Final reports whether the state is the last one.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// EntryVM is a VM of the query tier as it registers itself in the store.
type EntryVM struct {
	Name    VM
	Zone    AvailabilityZone
	Address string // for other VMs
	Boot    Boot
	Link    float64 // bandwidth of its link in Mbit/s
	Cores   float64 // processor cores that it may use
}

// EntryView is what the traffic workers need to know of the control state. It is immutable.
type EntryView struct {
	Config   *EntryConfig // nil until one is known
	Replicas map[ReplicaSet][]Replica
	// ServingVMs is the number of VMs that may serve callers now, at least 1. Bounds on sums
	// over all VMs are divided by it.
	ServingVMs int
	// Senders are the VMs that send gathered queries; IsSender tells whether this VM is one.
	Senders  []EntryVM
	IsSender bool
	Rollouts map[ReplicaSet]Rollout
	// ConfirmedAt is the time at which the store last confirmed the configuration.
	ConfirmedAt Time
}
