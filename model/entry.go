package model

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ReplicaSet names a set of backend servers that answer equally well: the servers of one shard
// of a gathered route, or all servers of a route that sends each request to one server.
type ReplicaSet string

// EntryRoute is the configuration of one route that an entry VM serves to callers outside the
// platform. The entry VM does not interpret the bodies of requests and answers.
type EntryRoute struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool   // whether a request that may have run can be sent again
	// Timeout is the maximum time from the receipt of a request to its answer; 0 means no limit.
	Timeout time.Duration
	// Target is the target latency: an answer that arrives later is worth less to the caller. 0
	// means that the route has no target.
	Target   time.Duration
	Priority int // 0 is the highest
	// MaxAttempts is the maximum number of backend servers to which one request is sent. On a
	// gathered route it applies to each shard.
	MaxAttempts int
	// Split lists the replica sets among which the requests of a route that is not gathered are
	// divided.
	Split []WeightedSet
	// Shards lists the replica sets of a gathered route, one for each shard. It is empty for
	// other routes.
	Shards      []ReplicaSet
	TopK        int     // maximum number of records in a gathered answer
	MinCoverage float64 // minimum share of the shards in a gathered answer, 0 to 1
}

// Gathers reports whether the route is gathered, that is, whether its answers are merged from
// the answers of all shards.
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

// ReplicaSetConfig is the configuration that applies to each server of a replica set.
type ReplicaSetConfig struct {
	// MaxConns is the maximum number of connections that one server accepts from all VMs together.
	MaxConns int
	// Warmup is the duration of a server's cold start.
	Warmup time.Duration
	// ColdRate is the maximum number of requests per second that all VMs together send to a server
	// in cold start; 0 means no limit.
	ColdRate float64
}

// EntryLimits limits the size of callers' requests and the time to receive them.
type EntryLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// EntryConfig is one version of the configuration of the entry VMs.
type EntryConfig struct {
	Version uint64 // version stated in the configuration; increases with each change
	Routes  []EntryRoute
	Sets    map[ReplicaSet]ReplicaSetConfig
	Limits  EntryLimits
}

// FindRoute returns the matching route with the longest path prefix, or nil.
func (c *EntryConfig) FindRoute(host, path string) *EntryRoute {
	var best *EntryRoute
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Matches(host, path) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Replica is the registration that a backend server writes to the store.
type Replica struct {
	ID         BackendServerID
	Set        ReplicaSet
	Address    string // IP and port
	Zone       AvailabilityZone
	Version    VersionID
	Slots      int           // maximum number of requests that the server runs at the same time
	Draining   bool          // whether the server accepts no new requests because it is about to stop
	WarmupLeft time.Duration // remaining duration of the cold start at the time of the registration
	StartedAt  time.Time     // start of the server's process
	Sequence   uint64        // number of this registration since the start of the process
}

// Rollout is an operator's order to change the version of a replica set by a deadline.
type Rollout struct {
	Name     string // name of the object in the store
	Set      ReplicaSet
	Target   VersionID
	Duration time.Duration // from the order to the deadline
	State    RolloutState
	Position Position // of the last change of the object in the store
	Created  uint64   // revision at which the object was created
	// Withheld is set when the VMs have found the target version to be worse. The target version
	// then receives no requests, even if the state in the store is not yet RolloutRolledBack.
	Withheld bool
	// Presumed means that no order is known: the set has got servers of another version, and an order
	// for them may follow. Requests to the version are bounded as in a rollout, without the slack.
	Presumed bool
	// SeenFromOrder means that this process ran when the order came, so that no earlier process of the
	// same VM has sent requests under it.
	SeenFromOrder bool
}

// Order returns an identifier of the order. A new object or another target version for the same
// replica set gives another identifier.
func (r *Rollout) Order() string {
	return fmt.Sprintf("%s/%d/%s", r.Set, r.Created, r.Target)
}

// RolloutLimit bounds the requests to the target version of a rollout, summed over all VMs, from the
// order to the deadline: Share times the requests that reach its replica set, plus Slack requests.
type RolloutLimit struct {
	Share float64
	Slack float64
}

// Validate returns an error if a field is negative.
func (l RolloutLimit) Validate() error {
	if l.Share < 0 || l.Slack < 0 {
		return errors.New("the bound for the target version of a rollout is negative")
	}
	return nil
}

// MaxTargetFailures is the number of failed attempts at the target version of a rollout, over all VMs,
// after which it gets no more requests before a verdict, whatever the other versions do meanwhile.
const MaxTargetFailures = 40

// RolloutUsage counts what one process has used of a RolloutLimit, and the attempts that failed. The
// counts only increase.
type RolloutUsage struct {
	Order    string // see Rollout.Order
	VM       VM
	Boot     Boot
	Demand   uint64 // requests to the replica set
	Requests uint64 // of these, those that a server has answered
	Sent     uint64 // attempts at servers of the target version
	Failed   uint64 // of these, those that may have run and brought no success
	// OldSent and OldFailed count the same for the servers of other versions.
	OldSent, OldFailed uint64
}

// Merge returns the newer counts of two reports of one process.
func (u RolloutUsage) Merge(other RolloutUsage) RolloutUsage {
	u.Demand, u.Requests = max(u.Demand, other.Demand), max(u.Requests, other.Requests)
	u.Sent, u.Failed = max(u.Sent, other.Sent), max(u.Failed, other.Failed)
	u.OldSent, u.OldFailed = max(u.OldSent, other.OldSent), max(u.OldFailed, other.OldFailed)
	return u
}

// RolloutState is the progress of a rollout as recorded in the store.
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

// Final reports whether the rollout has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RouteLoad is the rate at which one VM, or all VMs together, start the queries of a route.
type RouteLoad struct {
	Route     string
	PerSecond float64
}

// EntryVM is the registration that a VM of the query tier writes to the store.
type EntryVM struct {
	Name    VM
	Zone    AvailabilityZone
	Address string // address at which other VMs reach this one
	Boot    Boot
	Link    float64 // bandwidth of the VM's network link in Mbit/s
	Cores   float64 // number of processor cores that the daemon may use
}

// EntryView is the view that the control state publishes to the traffic workers. It is immutable.
type EntryView struct {
	Config   *EntryConfig             // nil until a configuration has been read
	Replicas map[ReplicaSet][]Replica // servers that may receive requests
	// ServingVMs is the number of VMs that may currently serve callers, at least 1. Each VM
	// divides a limit that applies to all VMs together by this number.
	ServingVMs int
	// Senders lists the VMs that send gathered queries to the backend servers. IsSender reports
	// whether this VM is one of them.
	Senders  []EntryVM
	IsSender bool
	Rollouts map[ReplicaSet]Rollout
	// ConfirmedAt is the time at which the store last confirmed the configuration.
	ConfirmedAt Time
	// Unconfirmed is set after this VM has started or was paused, until it has learnt what decides
	// to which servers a request may be sent.
	// No request is sent with such a view.
	Unconfirmed bool
}
