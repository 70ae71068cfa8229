package model

import "time"

// ObjectKind is the kind of a configuration object in the platform's store.
type ObjectKind string

// Kinds of configuration object in the store.
const (
	ObjectTemplate   ObjectKind = "templates"  // one object per customer
	ObjectZone       ObjectKind = "zones"      // one object per availability zone
	ObjectAutomation ObjectKind = "automation" // a single object, named AutomationName
	ObjectMove       ObjectKind = "moves"      // one object per move
	ObjectRoster     ObjectKind = "rosters"    // one object per ownership group
)

// AutomationName is the name of the only object of kind ObjectAutomation.
const AutomationName = "global"

// ObjectKey identifies one object.
type ObjectKey struct {
	Kind ObjectKind
	Name string
}

// String returns "kind/name".
func (k ObjectKey) String() string { return string(k.Kind) + "/" + k.Name }

// Object is one versioned configuration object. Version is the revision of the store at the
// object's last write; it is unique among all objects and only increases. Unless Deleted is set,
// exactly one of the pointers is set, the one for Key.Kind.
//
// The store keeps Write and Base with the object. With them, a writer that lost the answer to a
// write can tell whether the write took effect, even after another write replaced the content.
type Object struct {
	Key        ObjectKey
	Version    uint64
	Deleted    bool
	Write      WriteID // write that stored this version; zero if the writer was not a daemon
	Base       uint64  // version that the write replaced; 0 if the write created the object
	Template   *Template
	Zone       *ZoneState
	Automation *AutomationState
	Move       *Move
	Roster     *Roster
}

// WriteID identifies one conditional write. A retry of the write has the same ID.
type WriteID struct {
	VM     VM
	Boot   Boot
	Number uint64
}

// ZoneState records whether operators have taken an availability zone out of service, and why.
type ZoneState struct {
	Zone   AvailabilityZone
	Out    bool
	Reason string
	By     string
	At     time.Time
}

// AutomationState records whether operators have paused automatic actions, and why.
type AutomationState struct {
	Paused bool
	Until  time.Time // end of the pause; zero for a pause until an operator resumes
	Reason string
	By     string
	At     time.Time
}

// Roster lists the VMs that vote in an ownership group.
type Roster struct {
	Group    string
	Revision uint64 // increases by one with each change
	VMs      []VM   // sorted
}

// Has reports whether vm is a voter of the group.
func (r *Roster) Has(vm VM) bool {
	for _, v := range r.VMs {
		if v == vm {
			return true
		}
	}
	return false
}

// Majority returns the smallest number of votes that is more than half.
func (r *Roster) Majority() int { return len(r.VMs)/2 + 1 }

// MovePhase is the state of a move.
type MovePhase string

// Phases of a move. MoveFinished and MoveTakenBack are final.
const (
	MoveRunning   MovePhase = "running"
	MoveFinished  MovePhase = "finished"
	MoveTakenBack MovePhase = "taken back"
)

// Final reports whether the phase can no longer change.
func (p MovePhase) Final() bool { return p == MoveFinished || p == MoveTakenBack }

// Move shifts the traffic of some routes of one customer from one version to another in stages.
type Move struct {
	Name     string
	Customer CustomerID
	Routes   []RouteID
	From, To VersionID
	Start    time.Time
	Deadline time.Time

	Phase        MovePhase
	Stage        int // index of the current stage's share of the traffic
	StageStarted time.Time
	StagePairs   []uint64 // pairs counted for each route, in the order of Routes, when the stage began
	Withheld     bool     // version To was found to be worse while automation was paused and receives no traffic
	Reason       string   // why the move ended or is withheld, with figures
	Ended        time.Time
	// Settled is set on an ended move once the template's stable version on every route has been
	// the version that the move ended with. The move then no longer directs traffic.
	Settled bool
}

// PairCounts counts the outcomes of paired requests for one measure, such as failures. The
// requests of a pair went to the new and to the old version of the same route at about the same
// time.
type PairCounts struct {
	Pairs    uint64 // all pairs
	NewWorse uint64 // pairs in which only the request to the new version was bad by the measure
	OldWorse uint64 // pairs in which only the request to the old version was bad by the measure
}

// Add returns the sums of the counts of c and o.
func (c PairCounts) Add(o PairCounts) PairCounts {
	return PairCounts{c.Pairs + o.Pairs, c.NewWorse + o.NewWorse, c.OldWorse + o.OldWorse}
}

// MaxNeighbours is the largest number of outcomes of the old version with which one of the new version is
// compared.
const MaxNeighbours = 4

// RankCounts counts outcomes of the new version that were compared with outcomes of the old version around them,
// by latency, of which a failure has the longest. The index is the number of these neighbours less one.
type RankCounts struct {
	Trials  [MaxNeighbours]uint64 // all compared outcomes
	Slowest [MaxNeighbours]uint64 // those that were slower than all neighbours
}

// Add returns the sums of the counts of c and o.
func (c RankCounts) Add(o RankCounts) RankCounts {
	for i := range c.Trials {
		c.Trials[i] += o.Trials[i]
		c.Slowest[i] += o.Slowest[i]
	}
	return c
}

// Sums returns the numbers of all compared outcomes and of those that were slower than all neighbours.
func (c RankCounts) Sums() (trials, slowest uint64) {
	for i := range c.Trials {
		trials += c.Trials[i]
		slowest += c.Slowest[i]
	}
	return trials, slowest
}

// MoveEvidence holds the counts that one VM has made for one move and route since its boot. The
// counts never decrease.
type MoveEvidence struct {
	Move     string
	Route    RouteID
	VM       VM
	Boot     Boot
	Failures PairCounts // pairs compared by failure
	Slow     PairCounts // pairs compared by latency
	Ranks    RankCounts `json:",omitzero"` // of a Pairer that compares ranks
	New, Old uint64     // requests sent to each version
	Withheld bool       // whether VM has stopped sending traffic to the new version
}
