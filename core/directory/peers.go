package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// upstream is a VM that this VM follows.
type upstream struct {
	address      string
	lastStatusAt model.Time // arrival of its last status message, or start of the stream
}

// unreachableVM is a VM whose stream failed or carried no status message for UpstreamTimeout. It is
// not followed before retryAt.
type unreachableVM struct {
	retryAt  model.Time
	failures int // consecutive
}

// maxRetryDoublings bounds the exponential delay before an unreachable VM is followed again.
const maxRetryDoublings = 4

// rankedVMs returns the known VMs in the order in which they are chosen as readers: those with the
// highest link bandwidth first, since a reader sends each change to its followers. VMs that know
// the same entries compute the same order.
func (s *State) rankedVMs() []model.EntryVM {
	if s.vmOrder != nil {
		return s.vmOrder
	}
	vms := make([]model.EntryVM, 0, len(s.vms))
	for _, name := range slices.Sorted(maps.Keys(s.vms)) {
		vms = append(vms, s.vms[name].value)
	}
	slices.SortStableFunc(vms, func(a, b model.EntryVM) int {
		if c := cmp.Compare(b.Link, a.Link); c != 0 {
			return c
		}
		return cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name)))
	})
	s.vmOrder = vms
	return vms
}

// rank returns the index of this VM in rankedVMs, or the number of known VMs if it is not among
// them.
func (s *State) rank() int {
	for i, vm := range s.rankedVMs() {
		if vm.Name == s.cfg.Self {
			return i
		}
	}
	return len(s.vms)
}

// chooseUpstreams drops upstreams that have timed out or are no longer wanted and follows the
// wanted ones.
func (s *State) chooseUpstreams(now model.Time) {
	for _, vm := range slices.Sorted(maps.Keys(s.upstreams)) {
		if now.Sub(s.upstreams[vm].lastStatusAt) >= s.cfg.UpstreamTimeout {
			s.emit(Unfollow{VM: vm})
			s.markUnreachable(vm, "silent", now)
		}
	}
	wanted := s.wantedUpstreams(now)
	for _, vm := range slices.Sorted(maps.Keys(s.upstreams)) {
		if !slices.ContainsFunc(wanted, func(w model.EntryVM) bool { return w.Name == vm }) {
			delete(s.upstreams, vm)
			s.emit(Unfollow{VM: vm})
		}
	}
	for _, w := range wanted {
		if _, ok := s.upstreams[w.Name]; !ok {
			s.upstreams[w.Name] = &upstream{address: w.Address, lastStatusAt: now}
			s.emit(Follow{VM: w.Name, Address: w.Address})
		}
	}
}

// wantedUpstreams returns the first reachable VMs of rankedVMs. The starting point among the readers
// depends on the name of this VM, which spreads the followers over the readers.
func (s *State) wantedUpstreams(now model.Time) []model.EntryVM {
	others := slices.DeleteFunc(slices.Clone(s.rankedVMs()), func(vm model.EntryVM) bool { return vm.Name == s.cfg.Self })
	if n := min(s.cfg.Readers, len(others)); n > 1 {
		offset := int(xxhash.Sum64String(string(s.cfg.Self)) % uint64(n))
		readers := slices.Concat(others[offset:n], others[:offset])
		others = append(readers, others[n:]...)
	}
	var wanted []model.EntryVM
	for _, vm := range others {
		if u, ok := s.unreachable[vm.Name]; ok && now < u.retryAt {
			continue
		}
		if len(wanted) == s.cfg.Upstreams {
			break
		}
		wanted = append(wanted, vm)
	}
	return wanted
}

// markUnreachable removes an upstream and sets the time before which it is not followed again.
func (s *State) markUnreachable(vm model.VM, cause string, now model.Time) {
	if _, ok := s.upstreams[vm]; !ok {
		return
	}
	delete(s.upstreams, vm)
	u := s.unreachable[vm]
	u.retryAt = now.Add(s.cfg.UpstreamRetryDelay << min(u.failures, maxRetryDoublings))
	u.failures++
	s.unreachable[vm] = u
	s.log(logline.Info, "followed VM is lost", logline.F("peer", vm), logline.F("cause", cause), logline.F("times", u.failures))
}

// applyUpstreamStatus applies a status message of an upstream. Messages of VMs that are not
// followed any more are ignored.
func (s *State) applyUpstreamStatus(ev UpstreamStatusReceived, now model.Time) {
	u, ok := s.upstreams[ev.From]
	if !ok {
		return
	}
	u.lastStatusAt = now
	s.heard(ev.From, now)
	if lost, ok := s.unreachable[ev.From]; ok {
		delete(s.unreachable, ev.From)
		s.log(logline.Info, "followed VM is reachable again", logline.F("peer", ev.From), logline.F("lost_times", lost.failures))
	}
	s.enterEra(ev.Era, now)
	switch {
	case s.isOfEarlierEra(ev.Era):
	case ev.Update != nil && s.isOfEarlierEra(ev.Update.Position.Era):
	case ev.Update != nil:
		k := ev.Update.Kind
		s.confirmFromUpstream(k, ev.Ages[k], now)
		s.applyUpdate(*ev.Update, now)
	default:
		for k, age := range ev.Ages {
			s.confirmFromUpstream(Kind(k), age, now)
		}
	}
	s.applyRolloutStatuses(ev.From, ev.Rollouts, now)
	s.upstreamLoads(ev.From, ev.Loads, ev.LoadsWanted, now)
	if ev.Leaving {
		s.emit(Unfollow{VM: ev.From})
		s.markUnreachable(ev.From, "it is stopping", now)
	}
}

// confirmFromUpstream applies the age that an upstream reports for a kind. The upstream's updates
// arrive in order, so the objects that the store confirmed to it are already cached here.
func (s *State) confirmFromUpstream(k Kind, age time.Duration, now model.Time) {
	if age == UnknownAge || s.reads[k].incomplete || s.reads[k].unconfirmed {
		return
	}
	s.confirm(k, now.Add(-age))
}

// followerJoined sends all cached objects to a new follower.
func (s *State) followerJoined(follower uint64, now model.Time) {
	s.followers[follower] = true
	s.emit(SendUpdate{Follower: follower, Era: s.era, Ages: s.ages(now), Rollouts: s.rolloutStatuses(now)})
	for k := range s.reads {
		r := &s.reads[k]
		if !r.known() {
			continue
		}
		u := &Update{Kind: Kind(k), Full: true, Position: r.position}
		for _, name := range slices.Sorted(maps.Keys(s.objects[k])) {
			u.Changes = append(u.Changes, s.objects[k][name])
		}
		s.emit(SendUpdate{Follower: follower, Era: s.era, Ages: s.ages(now), Rollouts: s.rolloutStatuses(now), Update: u})
	}
}

// sendStatus sends the ages of the view and the running rollouts to all followers at each
// StatusInterval. The messages also show that this VM is running.
func (s *State) sendStatus(now model.Time) {
	if len(s.followers) == 0 || now < s.nextStatusAt {
		return
	}
	s.nextStatusAt = now.Add(s.cfg.StatusInterval)
	loads, wanted := s.statusLoads(now)
	s.emit(SendUpdate{Era: s.era, Ages: s.ages(now), Rollouts: s.rolloutStatuses(now), Loads: loads, LoadsWanted: wanted})
}
