// Package model holds the domain types that all other packages share: identifiers,
// templates, configuration objects, the immutable routing view, requests,
// coverage and refusals. Its methods only validate, compare, format and look up values.
package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Time is the monotonic time since the start of the process. Times of different processes
// cannot be compared.
type Time time.Duration

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Never is later than every other Time.
const Never = Time(1<<63 - 1)

// VM names one VM that runs a daemon. The name does not change when the process restarts.
type VM string

// AvailabilityZone names one availability zone.
type AvailabilityZone string

// CustomerID names one customer.
type CustomerID string

// RouteID names one route of a customer, for example "portal-search".
type RouteID string

// VersionID names one version of a route's backend servers.
type VersionID string

// ShardID names one shard of a route.
type ShardID string

// BackendServerID names one backend server, unique within a deployment.
type BackendServerID string

// Boot identifies one start of a process, or one return of a daemon to its group after its zone was
// out of service. 0 means unknown.
type Boot uint64

// Process identifies one process of a VM.
type Process struct {
	VM   VM
	Boot Boot
}

// Snapshot is the number of a state of the index of one version. A higher number is newer; 0
// means unknown.
type Snapshot uint64

// QueryID identifies one request of a caller within the entry daemon that received it.
type QueryID uint64

// AttemptID identifies one attempt within the owner that sent the attempt.
type AttemptID uint64

// Route identifies a route by its customer and its name.
type Route struct {
	Customer CustomerID
	Route    RouteID
}

// String returns "customer/route".
func (r Route) String() string { return string(r.Customer) + "/" + string(r.Route) }

// ShardKey identifies one shard of one version of a route. Each shard key has one owner.
type ShardKey struct {
	Route
	Version VersionID
	Shard   ShardID
}

// String returns "customer/route/version/shard".
func (k ShardKey) String() string {
	return k.Route.String() + "/" + string(k.Version) + "/" + string(k.Shard)
}

// MarshalText implements encoding.TextMarshaler.
func (r Route) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Route) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "/")
	if len(parts) != 2 {
		return fmt.Errorf("%q is not customer/route", text)
	}
	r.Customer, r.Route = CustomerID(parts[0]), RouteID(parts[1])
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (k ShardKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *ShardKey) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "/")
	if len(parts) != 4 {
		return fmt.Errorf("%q is not customer/route/version/shard", text)
	}
	k.Customer, k.Route.Route = CustomerID(parts[0]), RouteID(parts[1])
	k.Version, k.Shard = VersionID(parts[2]), ShardID(parts[3])
	return nil
}

// Less reports whether k sorts before o.
func (k ShardKey) Less(o ShardKey) bool { return k.Compare(o) < 0 }

// Compare returns -1, 0 or 1. It compares customer, route, version and shard in this order.
func (k ShardKey) Compare(o ShardKey) int {
	if c := strings.Compare(string(k.Customer), string(o.Customer)); c != 0 {
		return c
	}
	if c := strings.Compare(string(k.Route.Route), string(o.Route.Route)); c != 0 {
		return c
	}
	if c := strings.Compare(string(k.Version), string(o.Version)); c != 0 {
		return c
	}
	return strings.Compare(string(k.Shard), string(o.Shard))
}

// String returns the boot number in base 16.
func (b Boot) String() string { return strconv.FormatUint(uint64(b), 16) }
