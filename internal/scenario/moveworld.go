package scenario

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Names and sizes of the moves that are run on virtual time.
const (
	MoveName   = "move"
	OldVersion = model.VersionID("v1")
	NewVersion = model.VersionID("v2")
	// MoveRate is the number of searches a second per route. At 150 the old version gets 15
	// a second in the last stage, which is fewer than its 300 pairs in the 16 s of that stage.
	MoveRate   = 250.0
	MoveLength = 90 * time.Second

	sampleInterval = 50 * time.Millisecond
)

// SmallDeployment has two searched routes of 2 shards and 2 replicas, so that a move costs
// little processor time.
func SmallDeployment() vtime.Deployment {
	d := vtime.Haugland()
	d.Routes = d.Routes[:2:2]
	for i := range d.Routes {
		d.Routes[i].Shards = 2
	}
	return d
}

// Sample is the share of the new version in force on one daemon.
type Sample struct {
	At    time.Duration // since the start of the move
	VM    model.VM
	Share float64 // 0 to 1
}

// MoveRun is a world in which a move from OldVersion to NewVersion runs on all routes.
type MoveRun struct {
	*World
	Began     time.Duration
	Deadline  time.Time
	Started   *effect.CommandResult
	Samples   []Sample
	OnShare   func(share float64) // called when the highest share in force has risen; may be nil
	Onset     time.Duration       // first attempt on a bad server, -1 for none
	FirstZero time.Duration       // first daemon back at share 0, -1 for none
	AllZero   time.Duration       // every daemon back at share 0, -1 for none
	LastNew   time.Duration       // last attempt on the new version
	AboveStep int                 // samples with a share above the one of the stored stage

	attempts, fresh        int // since the start, all and to the new version
	attemptsSeen, freshBad int // the same from the onset to FirstZero
	freshAfter             int // attempts on the new version after FirstZero
	bad                    map[model.BackendServerID]bool
	highest                float64
	raised                 map[*vtime.Node]bool // by daemon and not by VM: a replaced daemon starts at share 0
	slots, cold            int
}

// NewMoveRun warms up a small deployment. The servers of the new version are warm unless cold is set.
func NewMoveRun(seed uint64, cold bool) *MoveRun {
	r := &MoveRun{
		World: NewWorld(SmallDeployment(), seed, OldVersion, NewVersion),
		Onset: -1, FirstZero: -1, AllZero: -1,
		bad:    make(map[model.BackendServerID]bool),
		raised: make(map[*vtime.Node]bool),
	}
	for _, route := range r.Deployment.Routes {
		for _, s := range r.ServersOf(route.Route, NewVersion) {
			if !cold {
				s.Warm()
			}
		}
	}
	limits := r.Deployment.Routes[0].Limits
	r.Warm(MoveRate * meanService.Seconds() / float64(2*limits.Slots))
	r.slots, r.cold = r.Overruns()
	return r
}

// Spoil makes the new version of the first n routes bad.
func (r *MoveRun) Spoil(n int, change func(*vtime.ServerConfig)) {
	for _, route := range r.Deployment.Routes[:n] {
		for _, s := range r.ServersOf(route.Route, NewVersion) {
			change(&s.Config)
			r.bad[s.ID] = true
		}
	}
}

// Move returns the start command of a move with a name.
func (r *MoveRun) Move(name string) event.StartMove {
	m := model.Move{
		Name: name, Customer: r.Deployment.Customer, From: OldVersion, To: NewVersion,
		Deadline: r.Wall().Add(MoveLength),
	}
	for _, route := range r.Deployment.Routes {
		m.Routes = append(m.Routes, route.Route)
	}
	return event.StartMove{Move: m}
}

// Begin starts the move and the records of it.
func (r *MoveRun) Begin() {
	r.Began = r.Sched.Now()
	cmd := r.Move(MoveName)
	r.Deadline = cmd.Move.Deadline
	r.OnAttempt = r.attempt
	r.Started = r.Command(0, cmd)
	r.sample()
}

// After runs f at a time since the start of the move.
func (r *MoveRun) After(d time.Duration, f func()) { r.Sched.At(r.Began+d, f) }

// Stored returns the move as stored now.
func (r *MoveRun) Stored() *model.Move {
	o, _ := r.Store.Get(model.ObjectKey{Kind: model.ObjectMove, Name: MoveName})
	return o.Move
}

// Overran returns the attempts above the slots and above the cold-start bound since the warm-up.
func (r *MoveRun) Overran() (slots, cold int) {
	s, c := r.Overruns()
	return s - r.slots, c - r.cold
}

func (r *MoveRun) attempt(_ *vtime.Node, a *effect.StartAttempt) {
	now := r.Sched.Now() - r.Began
	r.attempts++
	if a.Key.Version == NewVersion {
		r.fresh++
		r.LastNew = now
		if r.Onset < 0 && r.bad[a.Server.ID] {
			r.Onset = now
		}
		if r.FirstZero >= 0 {
			r.freshAfter++
		}
	}
	if r.Onset >= 0 && r.FirstZero < 0 {
		r.attemptsSeen++
		if a.Key.Version == NewVersion {
			r.freshBad++
		}
	}
}

// shareOf returns the share of the new version in force on a daemon.
func (r *MoveRun) shareOf(n *vtime.Node) float64 {
	if n.View == nil {
		return 0
	}
	share := 0.0
	for _, route := range r.Deployment.Routes {
		s := n.View.Config.Shares[model.Route{Customer: r.Deployment.Customer, Route: route.Route}]
		if s.To == NewVersion {
			share = max(share, s.Share)
		}
	}
	return share
}

// stageShares are the shares of section 4.9 of the design page.
var stageShares = []float64{0.01, 0.05, 0.25, 0.50, 0.90}

func (r *MoveRun) sample() {
	now := r.Sched.Now() - r.Began
	stored := r.Stored()
	highest, allZero := 0.0, true
	for _, n := range r.LiveNodes() {
		share := r.shareOf(n)
		r.Samples = append(r.Samples, Sample{now, n.VM, share})
		highest = max(highest, share)
		if share > 0 {
			r.raised[n] = true
			allZero = false
		} else if r.raised[n] && r.FirstZero < 0 {
			r.FirstZero = now
		}
		if stored != nil && stored.Phase == model.MoveRunning && share > stageShares[stored.Stage] {
			r.AboveStep++
		}
	}
	if r.FirstZero >= 0 && allZero && r.AllZero < 0 {
		r.AllZero = now
	}
	if highest > r.highest {
		r.highest = highest
		if r.OnShare != nil {
			r.OnShare(highest)
		}
	}
	r.Sched.After(sampleInterval, r.sample)
}
