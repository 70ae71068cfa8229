package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// orderDelay is how long after the first server of a version its rollout may become known. Servers
// and orders are read by different calls, and the servers start before the order or with it.
const orderDelay = 3 * time.Second

// version identifies the servers of one replica set that run one software version.
type version struct {
	set model.ReplicaSet
	id  model.VersionID
}

// versionState tells whether a version may get requests like any other.
type versionState struct {
	since    model.Time // first server of the version seen
	accepted bool       // it was the only version, was completed, or no order came for it
	rejected bool       // it was withheld or rolled back; kept until its servers are gone
}

// updateVersions accepts and rejects versions. A version that joins others in its set is accepted by a
// completed rollout, or once the store has confirmed that orderDelay after its first server there was no
// order for it.
func (s *State) updateVersions(now model.Time) {
	if !s.versionsDue {
		return
	}
	s.versionsDue = false
	oldest := s.oldestVersions()
	s.forgetVersions(oldest)
	for _, set := range slices.Sorted(maps.Keys(oldest)) {
		first := oldest[set]
		for _, id := range slices.Sorted(maps.Keys(first.versions)) {
			s.updateVersion(version{set, id}, id == first.id, now)
		}
	}
}

// setVersions are the versions of a set's servers, and the one whose server started first.
type setVersions struct {
	id        model.VersionID
	startedAt time.Time
	versions  map[model.VersionID]bool
}

func (s *State) oldestVersions() map[model.ReplicaSet]*setVersions {
	sets := make(map[model.ReplicaSet]*setVersions)
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := &s.replicas[name].value
		v, ok := sets[r.Set]
		if !ok {
			v = &setVersions{id: r.Version, startedAt: r.StartedAt, versions: make(map[model.VersionID]bool)}
			sets[r.Set] = v
		}
		if r.StartedAt.Before(v.startedAt) {
			v.id, v.startedAt = r.Version, r.StartedAt
		}
		v.versions[r.Version] = true
	}
	return sets
}

// forgetVersions removes the versions that have no server any more.
func (s *State) forgetVersions(present map[model.ReplicaSet]*setVersions) {
	for v := range s.versions {
		if p, ok := present[v.set]; !ok || !p.versions[v.id] {
			delete(s.versions, v)
			delete(s.openVersions, v)
		}
	}
}

func (s *State) updateVersion(v version, oldest bool, now model.Time) {
	state, ok := s.versions[v]
	if !ok {
		state = &versionState{since: now}
		s.versions[v] = state
		s.openVersions[v] = true
	}
	if !s.openVersions[v] {
		return
	}
	order, ordered := s.orderFor(v)
	switch {
	case ordered && (order.Withheld || order.State == model.RolloutRolledBack):
		state.rejected = true
	case ordered && order.State == model.RolloutCompleted:
		state.accepted = true
	case ordered || state.rejected:
	case oldest || s.reads[KindRollouts].confirmedAt >= state.since.Add(orderDelay):
		state.accepted = true
	}
	if state.accepted {
		delete(s.openVersions, v)
		s.viewChanged = true
		if !oldest {
			s.log(logline.Info, "version is used like the others of its set", logline.F("set", v.set), logline.F("version", v.id),
				logline.F("known_for", now.Sub(state.since)), logline.F("ordered", ordered))
		}
	}
}

// orderFor returns the newest rollout to a version.
func (s *State) orderFor(v version) (model.Rollout, bool) {
	var newest model.Rollout
	found := false
	for _, name := range slices.Sorted(maps.Keys(s.rollouts)) {
		if o := s.rollouts[name].order; o.Set == v.set && o.Target == v.id && (!found || o.Created > newest.Created) {
			newest, found = o, true
		}
	}
	return newest, found
}

// presumedRollouts adds a rollout for each set that has a version which is not accepted and no order.
// It bounds the requests to that version until its order is known.
func (s *State) presumedRollouts(published map[model.ReplicaSet]model.Rollout) {
	since := make(map[model.ReplicaSet]model.Time)
	for v := range s.openVersions {
		state := s.versions[v]
		other, ok := since[v.set]
		if _, ordered := published[v.set]; ordered && !ok || ok && (other > state.since || other == state.since && published[v.set].Target > v.id) {
			continue
		}
		since[v.set] = state.since
		published[v.set] = model.Rollout{Set: v.set, Target: v.id, Presumed: true, Withheld: state.rejected}
	}
}
