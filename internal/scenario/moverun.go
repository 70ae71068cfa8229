package scenario

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Names and sizes of the simulated moves.
const (
	MoveName   = "move"
	OldVersion = model.VersionID("v1")
	NewVersion = model.VersionID("v2")
	// MoveRate is the number of searches per second and route. At 150 the old version would get 15
	// per second in the last stage, too few for the 300 pairs needed in its 16 s.
	MoveRate   = 250.0
	MoveLength = 90 * time.Second

	sampleInterval = 50 * time.Millisecond
)

// SmallDeployment returns a deployment of two routes with 2 shards and 2 replicas each, which keeps
// the processor time of a simulated move low.
func SmallDeployment() vtime.Deployment {
	d := vtime.Haugland()
	d.Routes = d.Routes[:2:2]
	for i := range d.Routes {
		d.Routes[i].Shards = 2
	}
	return d
}

// Sample is the share of the new version that one daemon uses at one time.
type Sample struct {
	At    time.Duration // since the start of the move
	VM    model.VM
	Share float64 // 0 to 1
}

// MoveRun is a simulation in which a move from OldVersion to NewVersion runs on all routes.
type MoveRun struct {
	*Simulation
	StartedAt         time.Duration
	Deadline          time.Time
	StartResult       *effect.CommandResult
	Samples           []Sample
	OnShare           func(share float64) // called when the highest share of all daemons has risen; may be nil
	FirstBadAttempt   time.Duration       // time of the first attempt on a bad server, -1 for none
	FirstZeroShare    time.Duration       // time when the first daemon was back at share 0, -1 for none
	AllZeroShare      time.Duration       // time when every daemon was back at share 0, -1 for none
	LastNewAttempt    time.Duration       // time of the last attempt on the new version
	SamplesAboveStage int                 // number of samples with a share above that of the stored stage

	attempts, newAttempts                  int // since the start: all, and those on the new version
	attemptsWhileBad, newAttemptsWhileBad  int // the same, from FirstBadAttempt to FirstZeroShare
	newAttemptsAfterZero                   int // attempts on the new version after FirstZeroShare
	badServers                             map[model.BackendServerID]bool
	highestShare                           float64
	hadShare                               map[*vtime.Node]bool // keyed by node and not by VM, because a restarted daemon starts at share 0
	warmUpSlotOverruns, warmUpColdOverruns int
}

// NewMoveRun starts a small deployment and warms it up. With cold set, the servers of the new
// version stay in cold start.
func NewMoveRun(seed uint64, cold bool) *MoveRun {
	r := &MoveRun{
		Simulation:      NewWorld(SmallDeployment(), seed, OldVersion, NewVersion),
		FirstBadAttempt: -1, FirstZeroShare: -1, AllZeroShare: -1,
		badServers: make(map[model.BackendServerID]bool),
		hadShare:   make(map[*vtime.Node]bool),
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
	r.warmUpSlotOverruns, r.warmUpColdOverruns = r.Overruns()
	return r
}

// Spoil changes the servers of the new version on the first n routes, and counts them as bad.
func (r *MoveRun) Spoil(n int, change func(*vtime.ServerConfig)) {
	for _, route := range r.Deployment.Routes[:n] {
		for _, s := range r.ServersOf(route.Route, NewVersion) {
			change(&s.Config)
			r.badServers[s.ID] = true
		}
	}
}

// StartCommand returns the command that starts a move with the given name.
func (r *MoveRun) StartCommand(name string) event.StartMove {
	m := model.Move{
		Name: name, Customer: r.Deployment.Customer, From: OldVersion, To: NewVersion,
		Deadline: r.Wall().Add(MoveLength),
	}
	for _, route := range r.Deployment.Routes {
		m.Routes = append(m.Routes, route.Route)
	}
	return event.StartMove{Move: m}
}

// Begin starts the move and the recording of attempts and shares.
func (r *MoveRun) Begin() {
	r.StartedAt = r.Sched.Now()
	cmd := r.StartCommand(MoveName)
	r.Deadline = cmd.Move.Deadline
	r.OnAttempt = r.recordAttempt
	r.StartResult = r.Command(0, cmd)
	r.recordSample()
}

// After schedules f to run when d has passed since the start of the move.
func (r *MoveRun) After(d time.Duration, f func()) { r.Sched.At(r.StartedAt+d, f) }

// StoredMove returns the move as it is in the store, or nil.
func (r *MoveRun) StoredMove() *model.Move {
	o, _ := r.Store.Get(model.ObjectKey{Kind: model.ObjectMove, Name: MoveName})
	return o.Move
}

// OverrunsSinceWarmUp is like Overruns, but counts only attempts since the warm-up.
func (r *MoveRun) OverrunsSinceWarmUp() (slots, cold int) {
	s, c := r.Overruns()
	return s - r.warmUpSlotOverruns, c - r.warmUpColdOverruns
}

func (r *MoveRun) recordAttempt(_ *vtime.Node, a *effect.StartAttempt) {
	now := r.Sched.Now() - r.StartedAt
	r.attempts++
	if a.Key.Version == NewVersion {
		r.newAttempts++
		r.LastNewAttempt = now
		if r.FirstBadAttempt < 0 && r.badServers[a.Server.ID] {
			r.FirstBadAttempt = now
		}
		if r.FirstZeroShare >= 0 {
			r.newAttemptsAfterZero++
		}
	}
	if r.FirstBadAttempt >= 0 && r.FirstZeroShare < 0 {
		r.attemptsWhileBad++
		if a.Key.Version == NewVersion {
			r.newAttemptsWhileBad++
		}
	}
}

// newVersionShare returns the highest share of the new version in a daemon's view, 0 to 1.
func (r *MoveRun) newVersionShare(n *vtime.Node) float64 {
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

// stageShares holds the share of each stage of a move, as in section 4.9 of docs/design.md.
var stageShares = []float64{0.01, 0.05, 0.25, 0.50, 0.90}

func (r *MoveRun) recordSample() {
	now := r.Sched.Now() - r.StartedAt
	stored := r.StoredMove()
	highest, allZero := 0.0, true
	for _, n := range r.LiveNodes() {
		share := r.newVersionShare(n)
		r.Samples = append(r.Samples, Sample{now, n.VM, share})
		highest = max(highest, share)
		if share > 0 {
			r.hadShare[n] = true
			allZero = false
		} else if r.hadShare[n] && r.FirstZeroShare < 0 {
			r.FirstZeroShare = now
		}
		if stored != nil && stored.Phase == model.MoveRunning && share > stageShares[stored.Stage] {
			r.SamplesAboveStage++
		}
	}
	if r.FirstZeroShare >= 0 && allZero && r.AllZeroShare < 0 {
		r.AllZeroShare = now
	}
	if highest > r.highestShare {
		r.highestShare = highest
		if r.OnShare != nil {
			r.OnShare(highest)
		}
	}
	r.Sched.After(sampleInterval, r.recordSample)
}
