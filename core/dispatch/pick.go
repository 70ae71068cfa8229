package dispatch

import (
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// noRoomRetryDelay is the delay before a server is picked again for a shard whose usable servers
	// are all at a limit.
	noRoomDelay = 10 * time.Millisecond
	// usableConnShare is the fraction of a server's connections that the VMs use. The rest covers
	// connections that are being closed.
	usableConnShare = 0.8
)

// hasUsableServer reports whether a replica set has a server whose address does not belong to
// another server and whose version is not excluded by a rollout.
func (s *State) hasUsableServer(set model.ReplicaSet, now model.Time) bool {
	replicas := s.view.Replicas[set]
	for i := range replicas {
		if s.statsOf(&replicas[i]).reassignedAddress != replicas[i].Address && !s.excluded(&replicas[i], now) {
			return true
		}
	}
	return false
}

// maxRunning returns how many attempts this VM may have running at one server of a replica set.
// All VMs together must stay within the server's connection limit, since it resets connections
// beyond that.
func (s *State) maxRunning(r *route, set model.ReplicaSet) int {
	conns := s.view.Config.Sets[set].MaxConns
	if conns <= 0 {
		return math.MaxInt
	}
	return max(int(usableConnShare*float64(conns)/float64(s.sendingVMs(r))), 1)
}

// pickEligible returns the server with the shortest expected wait among the eligible ones to which
// no attempt of the shard has been sent, or nil.
func (s *State) pickEligible(q *query, sh *shard, now model.Time, eligible func(*model.Replica) bool) *model.Replica {
	replicas := s.view.Replicas[sh.set]
	var best *model.Replica
	var bestWait time.Duration
	limit := s.maxRunning(q.route, sh.set)
	start := 0
	if len(replicas) > 1 {
		start = s.rng.IntN(len(replicas))
	}
	for n := range replicas {
		r := &replicas[(start+n)%len(replicas)]
		if sh.attempted(r.ID) || !eligible(r) {
			continue
		}
		srv := s.statsOf(r)
		if len(srv.running) >= limit || srv.reassignedAddress == r.Address || !s.coldAllows(q, sh.set, srv, now) || s.noticeNextAt(q.route, r, srv, now) > now {
			continue
		}
		wait := srv.expectedWait(r, q.latency, now)
		if best == nil || wait < bestWait {
			best, bestWait = r, wait
		}
	}
	return best
}

func (sh *shard) attempted(id model.BackendServerID) bool {
	for _, t := range sh.reached {
		if t == id {
			return true
		}
	}
	for _, t := range sh.unreachable {
		if t == id {
			return true
		}
	}
	for _, a := range sh.running {
		if a.server.ID == id {
			return true
		}
	}
	return false
}
