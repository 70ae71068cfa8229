package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// loadTimeout is the age from which the loads that another VM has told are no longer used.
	loadTimeout = 2 * time.Second
	// loadsWantedFor is how long loads are collected after a VM has asked for the totals.
	loadsWantedFor = 5 * time.Second
)

// Events and effects of loads, see dispatch.ReportLoads.
type (
	// LocalLoadsReported reports the loads of this VM. Limited means that it needs the totals.
	LocalLoadsReported struct {
		Loads   []model.RouteLoad
		Limited bool
	}
	// FollowerLoadsReceived carries the loads of a follower.
	FollowerLoadsReceived struct {
		VM      model.VM
		Loads   []model.RouteLoad
		Limited bool
	}
	// SendLoads sends the loads of this VM to all upstreams.
	SendLoads struct {
		Loads   []model.RouteLoad
		Limited bool
	}
	// PublishLoads passes the loads of all VMs together to the traffic worker. Wanted means that its own
	// loads are needed.
	PublishLoads struct {
		Totals []model.RouteLoad
		Wanted bool
	}
)

func (LocalLoadsReported) event()    {}
func (FollowerLoadsReceived) event() {}
func (SendLoads) effect()            {}
func (PublishLoads) effect()         {}

// toldLoads are loads that a VM has told.
type toldLoads struct {
	loads []model.RouteLoad
	at    model.Time
}

// loadState holds the loads that VMs have told. Own loads and those of followers add up to totals, which
// are told to the followers; upstreams tell totals too.
type loadState struct {
	byVM        map[model.VM]toldLoads // own and followers'
	totalsOf    map[model.VM]toldLoads // by upstream
	wantedUntil model.Time             // a VM has asked for totals here
}

func newLoadState() loadState {
	return loadState{byVM: make(map[model.VM]toldLoads), totalsOf: make(map[model.VM]toldLoads)}
}

func (s *State) localLoadsReported(ev LocalLoadsReported, now model.Time) {
	s.recordLoads(s.cfg.Self, ev.Loads, ev.Limited, now)
	if len(s.upstreams) > 0 {
		s.emit(SendLoads(ev))
	}
	s.publishLoads(false, now)
}

// recordLoads records the loads of a VM. If the VM is the first to ask for the totals, the next status
// message is due at once, since it asks the other followers for theirs.
func (s *State) recordLoads(vm model.VM, loads []model.RouteLoad, limited bool, now model.Time) {
	s.loads.byVM[vm] = toldLoads{loads: loads, at: now}
	if !limited {
		return
	}
	if now >= s.loads.wantedUntil {
		s.nextStatusAt = now
		s.emit(PublishLoads{Totals: s.totalLoads(now), Wanted: true})
	}
	s.loads.wantedUntil = now.Add(loadsWantedFor)
}

// upstreamLoads applies the totals of an upstream's status message.
func (s *State) upstreamLoads(from model.VM, totals []model.RouteLoad, wanted bool, now model.Time) {
	if len(totals) == 0 && !wanted {
		return
	}
	s.loads.totalsOf[from] = toldLoads{loads: totals, at: now}
	s.publishLoads(wanted, now)
}

// publishLoads passes the larger of the totals that this VM and its upstreams know to the traffic worker.
// A VM that does not see all others knows too small a total, from which its part would be too large.
func (s *State) publishLoads(wanted bool, now model.Time) {
	totals := s.totalLoads(now)
	for _, vm := range slices.Sorted(maps.Keys(s.loads.totalsOf)) {
		told := s.loads.totalsOf[vm]
		if now.Sub(told.at) >= loadTimeout {
			delete(s.loads.totalsOf, vm)
			continue
		}
		totals = largerLoads(totals, told.loads)
	}
	s.emit(PublishLoads{Totals: totals, Wanted: wanted || now < s.loads.wantedUntil})
}

// totalLoads returns the sums of the loads that this VM and its followers have told lately.
func (s *State) totalLoads(now model.Time) []model.RouteLoad {
	sums := make(map[string]float64)
	for _, vm := range slices.Sorted(maps.Keys(s.loads.byVM)) {
		told := s.loads.byVM[vm]
		if now.Sub(told.at) >= loadTimeout {
			delete(s.loads.byVM, vm)
			continue
		}
		for _, l := range told.loads {
			sums[l.Route] += l.PerSecond
		}
	}
	return sortedLoads(sums)
}

func largerLoads(a, b []model.RouteLoad) []model.RouteLoad {
	larger := make(map[string]float64)
	for _, l := range a {
		larger[l.Route] = l.PerSecond
	}
	for _, l := range b {
		larger[l.Route] = max(larger[l.Route], l.PerSecond)
	}
	return sortedLoads(larger)
}

func sortedLoads(perSecond map[string]float64) []model.RouteLoad {
	var loads []model.RouteLoad
	for _, route := range slices.Sorted(maps.Keys(perSecond)) {
		loads = append(loads, model.RouteLoad{Route: route, PerSecond: perSecond[route]})
	}
	return loads
}

// statusLoads returns the totals for a status message, and whether followers shall tell their loads.
func (s *State) statusLoads(now model.Time) ([]model.RouteLoad, bool) {
	if now >= s.loads.wantedUntil {
		return nil, false
	}
	return s.totalLoads(now), true
}
