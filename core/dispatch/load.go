package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// VMs with different loads need different parts of a limit that holds for all of them together. While a
// server states a limit, each VM reports the rate at which it starts the queries of each route, and
// receives the sum of these rates over all VMs.

const (
	// loadSlot and loadSlots are the resolution and the length of the window of a rate.
	loadSlot  = 500 * time.Millisecond
	loadSlots = 4
	// loadInterval is the minimum interval between ReportLoads effects.
	loadInterval = 400 * time.Millisecond
	// minLoadShare is the fraction of a limit that is divided equally, so that a VM whose load begins
	// has a part.
	minLoadShare = 0.1
)

// Events and effects of loads.
type (
	// LoadsReceived reports the loads of all VMs together. While Wanted is set, another VM needs the
	// loads of this one.
	LoadsReceived struct {
		Totals []model.RouteLoad
		Wanted bool
	}
	// ReportLoads reports the loads of this VM. Limited means that it needs the totals.
	ReportLoads struct {
		Loads   []model.RouteLoad
		Limited bool
	}
)

func (LoadsReceived) event() {}
func (ReportLoads) effect()  {}

// loads holds the loads of this VM and of all VMs together.
type loads struct {
	rates      map[string]*rate // by route name
	reported   map[string]float64
	previous   map[string]float64 // the report before that
	totals     map[string]float64
	wanted     bool
	reportedAt model.Time
}

func newLoads() loads { return loads{rates: make(map[string]*rate)} }

// rate counts the queries of one route in slots of time.
type rate struct {
	slots [loadSlots + 1]int // the slot that is being counted, and those of the window
	head  int64              // number of the slot that is being counted
}

func (r *rate) advance(now model.Time) {
	head := int64(now) / int64(loadSlot)
	for range min(head-r.head, int64(len(r.slots))) {
		copy(r.slots[1:], r.slots[:])
		r.slots[0] = 0
	}
	r.head = max(r.head, head)
}

func (r *rate) count(now model.Time) {
	r.advance(now)
	r.slots[0]++
}

func (r *rate) perSecond(now model.Time) float64 {
	r.advance(now)
	sum := 0
	for _, n := range r.slots[1:] {
		sum += n
	}
	return float64(sum) / (loadSlots * loadSlot).Seconds()
}

func (s *State) countLoad(r *route, now model.Time) {
	c, ok := s.loads.rates[r.Name]
	if !ok {
		c = &rate{}
		s.loads.rates[r.Name] = c
	}
	c.count(now)
}

// reportLoads emits the loads of this VM while they are needed here or at another VM.
func (s *State) reportLoads(now model.Time) {
	if s.limited == 0 && !s.loads.wanted || now.Sub(s.loads.reportedAt) < loadInterval {
		return
	}
	s.loads.reportedAt = now
	s.countNotices(now)
	report := ReportLoads{Limited: s.limited > 0}
	first := s.loads.reported == nil
	s.loads.previous, s.loads.reported = s.loads.reported, make(map[string]float64)
	if first {
		s.loads.previous = s.loads.reported
	}
	for _, name := range slices.Sorted(maps.Keys(s.loads.rates)) {
		perSecond := s.loads.rates[name].perSecond(now)
		if perSecond == 0 {
			delete(s.loads.rates, name)
			continue
		}
		s.loads.reported[name] = perSecond
		report.Loads = append(report.Loads, model.RouteLoad{Route: name, PerSecond: perSecond})
	}
	s.emit(report)
}

func (s *State) loadsReceived(ev LoadsReceived) {
	s.loads.wanted = ev.Wanted
	if len(ev.Totals) == 0 {
		return
	}
	s.loads.totals = make(map[string]float64)
	for _, l := range ev.Totals {
		s.loads.totals[l.Route] = l.PerSecond
	}
}

// loadShare returns this VM's part of the limits of a replica set's servers: its load's share of the
// total load, or an equal part if the totals are not known. The parts of all VMs add up to 1 at most if
// they know the same totals. The lower one of the last two reports counts, since the totals lag behind.
func (s *State) loadShare(r *route, set model.ReplicaSet) float64 {
	equal := 1 / float64(s.sendingVMs(r))
	own, total := 0.0, 0.0
	for _, name := range s.routes.routesOf[set] {
		own += min(s.loads.reported[name], s.loads.previous[name])
		total += s.loads.totals[name]
	}
	if total == 0 {
		return equal
	}
	return min((1-minLoadShare)*own/total, 1) + minLoadShare*equal
}
