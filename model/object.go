package model

import "time"

// ObjectKind is the kind of a configuration object in the platform's store.
type ObjectKind string

// Kinds of object that the system keeps in the store.
const (
	ObjectTemplate   ObjectKind = "templates"  // one per customer
	ObjectZone       ObjectKind = "zones"      // one per availability zone
	ObjectAutomation ObjectKind = "automation" // one, named AutomationName
	ObjectMove       ObjectKind = "moves"      // one per move
	ObjectRoster     ObjectKind = "rosters"    // one per ownership group
)

// AutomationName is the name of the one object of kind ObjectAutomation.
const AutomationName = "global"

// ObjectKey names one object.
type ObjectKey struct {
	Kind ObjectKind
	Name string
}

// String returns "kind/name".
func (k ObjectKey) String() string { return string(k.Kind) + "/" + k.Name }

// Object is one versioned configuration object. Version is the store's revision
// at its last write, unique over all objects and only rising. Exactly one of the
// pointers is set, by Key.Kind, unless Deleted is set.
//
// Write and Base are part of what the store keeps. They tell a writer whose answer was
// lost whether its write took effect, even after another write has replaced the content.
type Object struct {
	Key        ObjectKey
	Version    uint64
	Deleted    bool
	Write      WriteID // the write that stored this version; zero if no daemon wrote it
	Base       uint64  // version that the write replaced, 0 if it created the object
	Template   *Template
	Zone       *ZoneState
	Automation *AutomationState
	Move       *Move
	Roster     *Roster
}

// WriteID identifies one conditional write. Repeats of the write carry the same ID.
type WriteID struct {
	VM     VM
	Boot   Boot
	Number uint64
}

// ZoneState says whether operators have taken an availability zone out.
type ZoneState struct {
	Zone   AvailabilityZone
	Out    bool
	Reason string
	By     string
	At     time.Time
}

// AutomationState says whether automatic actions are paused.
type AutomationState struct {
	Paused bool
	Until  time.Time // zero: until resumed
	Reason string
	By     string
	At     time.Time
}

// Roster lists the VMs that vote in an ownership group.
type Roster struct {
	Group    string
	Revision uint64 // rises by one with each change
	VMs      []VM   // sorted
}

// Has reports whether vm has a vote.
func (r *Roster) Has(vm VM) bool {
	for _, v := range r.VMs {
		if v == vm {
			return true
		}
	}
	return false
}

// Majority returns the least number of votes that is more than half.
func (r *Roster) Majority() int { return len(r.VMs)/2 + 1 }

// MovePhase is the state of a move.
type MovePhase string

// Phases of a move. Finished and taken back are final.
const (
	MoveRunning   MovePhase = "running"
	MoveFinished  MovePhase = "finished"
	MoveTakenBack MovePhase = "taken back"
)

// Final reports whether the phase can no longer change.
func (p MovePhase) Final() bool { return p == MoveFinished || p == MoveTakenBack }

// Move shifts the traffic of routes of one customer from one version to another.
type Move struct {
	Name     string
	Customer CustomerID
	Routes   []RouteID
	From, To VersionID
	Start    time.Time
	Deadline time.Time

	Phase        MovePhase
	Stage        int // index into the stage shares
	StageStarted time.Time
	Withheld     bool   // found bad while automation was paused; receives no traffic
	Reason       string // why it ended, with figures
	Ended        time.Time
}

// PairCounts counts outcomes of paired requests, one to the new and one to the old
// version of the same route at about the same time, for one measure.
type PairCounts struct {
	Pairs    uint64 // all pairs
	NewWorse uint64 // pairs in which only the new version was bad
	OldWorse uint64 // pairs in which only the old version was bad
}

// Add returns the sum of both counts.
func (c PairCounts) Add(o PairCounts) PairCounts {
	return PairCounts{c.Pairs + o.Pairs, c.NewWorse + o.NewWorse, c.OldWorse + o.OldWorse}
}

// MoveEvidence holds the counts of one move and route as seen by one VM since its
// boot. The counts only rise.
type MoveEvidence struct {
	Move     string
	Route    RouteID
	VM       VM
	Boot     Boot
	Failures PairCounts
	Slow     PairCounts
	New, Old uint64 // requests sent to each version
	Withheld bool   // the VM that reports has stopped sending traffic to the new version
}
