package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// upstream is a VM that this one follows.
type upstream struct {
	address string
	heardAt model.Time
}

// lostVM is a VM that could not be followed.
type lostVM struct {
	until model.Time
	times int // in a row
}

// maxLostDoublings bounds how long a VM that is never reached is left out.
const maxLostDoublings = 4

// rankedVMs returns the known VMs in the order in which they read the store for all: those
// with the widest links first, since they send each change to all others. Every VM that knows
// the same VMs finds the same order.
func (s *State) rankedVMs() []model.EntryVM {
	if s.order != nil {
		return s.order
	}
	vms := make([]model.EntryVM, 0, len(s.vms))
	for _, name := range keysOf(s.vms) {
		vms = append(vms, s.vms[name].value)
	}
	slices.SortStableFunc(vms, func(a, b model.EntryVM) int {
		if c := cmp.Compare(b.Link, a.Link); c != 0 {
			return c
		}
		return cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name)))
	})
	s.order = vms
	return vms
}

// ranked returns the place of this VM in the order.
func (s *State) ranked() int {
	for i, vm := range s.rankedVMs() {
		if vm.Name == s.cfg.Self {
			return i
		}
	}
	return len(s.vms)
}

// chooseUpstreams follows the first VMs of the order that can be reached. Each VM starts at
// another one of the readers, so that they share the followers.
func (s *State) chooseUpstreams(now model.Time) {
	for _, vm := range keysOf(s.upstreams) {
		if now.Sub(s.upstreams[vm].heardAt) >= s.cfg.UpstreamTimeout {
			s.emit(Unfollow{VM: vm})
			s.lose(vm, "silent", now)
		}
	}
	wanted := s.wantedUpstreams(now)
	for _, vm := range keysOf(s.upstreams) {
		if !slices.ContainsFunc(wanted, func(w model.EntryVM) bool { return w.Name == vm }) {
			delete(s.upstreams, vm)
			s.emit(Unfollow{VM: vm})
		}
	}
	for _, w := range wanted {
		if _, ok := s.upstreams[w.Name]; !ok {
			s.upstreams[w.Name] = &upstream{address: w.Address, heardAt: now}
			s.emit(Follow{VM: w.Name, Address: w.Address})
		}
	}
}

func (s *State) wantedUpstreams(now model.Time) []model.EntryVM {
	others := slices.DeleteFunc(slices.Clone(s.rankedVMs()), func(vm model.EntryVM) bool { return vm.Name == s.cfg.Self })
	if n := min(s.cfg.Readers, len(others)); n > 1 {
		turn := int(xxhash.Sum64String(string(s.cfg.Self)) % uint64(n))
		readers := slices.Concat(others[turn:n], others[:turn])
		others = append(readers, others[n:]...)
	}
	var wanted []model.EntryVM
	for _, vm := range others {
		if l, ok := s.lost[vm.Name]; ok && now < l.until {
			continue
		}
		if len(wanted) == s.cfg.Upstreams {
			break
		}
		wanted = append(wanted, vm)
	}
	return wanted
}

func (s *State) lose(vm model.VM, cause string, now model.Time) {
	if _, ok := s.upstreams[vm]; !ok {
		return
	}
	delete(s.upstreams, vm)
	l := s.lost[vm]
	l.until = now.Add(s.cfg.UpstreamRetryDelay << min(l.times, maxLostDoublings))
	l.times++
	s.lost[vm] = l
	s.log(logline.Info, "followed VM is lost", logline.F("peer", vm), logline.F("cause", cause), logline.F("times", l.times))
}

// heard takes what a followed VM says.
func (s *State) heard(ev UpstreamStatusReceived, now model.Time) {
	u, ok := s.upstreams[ev.From]
	if !ok {
		return
	}
	u.heardAt = now
	if l, ok := s.lost[ev.From]; ok {
		delete(s.lost, ev.From)
		s.log(logline.Info, "followed VM is back", logline.F("peer", ev.From), logline.F("lost_times", l.times))
	}
	if ev.Update != nil {
		k := ev.Update.Kind
		s.hearAge(k, ev.Ages[k], now)
		s.take(*ev.Update, now)
	} else {
		for k, age := range ev.Ages {
			s.hearAge(Kind(k), age, now)
		}
	}
	s.hearOrders(ev.From, ev.Rollouts, now)
	if ev.Leaving {
		s.emit(Unfollow{VM: ev.From})
		s.lose(ev.From, "it is stopping", now)
	}
}

// hearAge takes a confirmation that a followed VM has of the store. Its updates arrive in
// order, so that all that it knew then is known here.
func (s *State) hearAge(k Kind, age time.Duration, now model.Time) {
	if age == UnknownAge || s.reads[k].gap {
		return
	}
	s.confirm(k, now.Add(-age))
}

// followerJoined sends a new follower all that is known.
func (s *State) followerJoined(follower uint64, now model.Time) {
	s.followers[follower] = true
	s.emit(SendUpdate{Follower: follower, Ages: s.ages(now), Rollouts: s.orderWords(now)})
	for k := range s.reads {
		r := &s.reads[k]
		if r.revision == 0 {
			continue
		}
		u := &Update{Kind: Kind(k), Full: true, Revision: r.revision}
		for _, name := range keysOf(s.objects[k]) {
			u.Changes = append(u.Changes, s.objects[k][name])
		}
		s.emit(SendUpdate{Follower: follower, Ages: s.ages(now), Rollouts: s.orderWords(now), Update: u})
	}
}

// spreadAges tells the followers that this VM lives and how old its beliefs are.
func (s *State) spreadAges(now model.Time) {
	if len(s.followers) == 0 || now < s.spreadAt {
		return
	}
	s.spreadAt = now.Add(s.cfg.StatusInterval)
	s.emit(SendUpdate{Ages: s.ages(now), Rollouts: s.orderWords(now)})
}
