package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// ColdConfig limits the requests per second that all VMs together send to a cold server: Factor
// times the ColdRate of its replica set, plus Slack.
type ColdConfig struct {
	Factor float64
	Slack  float64
}

const (
	// coldShare is the fraction of the limit that the VMs share. The rest covers requests that are
	// delayed in transit and arrive in the same second as later ones.
	coldShare  = 0.6
	coldWindow = time.Second
)

// coldStart is a VM's state of a server's cold start.
type coldStart struct {
	endsAt   model.Time
	sequence uint64 // of the last registration applied
	sent     []model.Time
}

// observeRegistration updates the end of the cold start from a server's registration. Each
// registration is applied once, since WarmupLeft is relative to when it was first seen.
func (c *coldStart) observeRegistration(r *model.Replica, now model.Time) {
	if r.Sequence == c.sequence && c.endsAt != 0 {
		return
	}
	c.sequence = r.Sequence
	c.endsAt = max(c.endsAt, now.Add(r.WarmupLeft))
}

// allows reports whether a server may get another request from this VM. A cold server gets at most
// coldShare of limit requests per second, divided equally among sendingVMs. If a VM's share is
// less than one request per second, only VMs whose rank for the server is below that share send, at
// most one request per second each.
func (c *coldStart) allows(limit float64, sendingVMs int, rank float64, now model.Time) bool {
	if now >= c.endsAt {
		c.sent = nil
		return true
	}
	for len(c.sent) > 0 && now.Sub(c.sent[0]) >= coldWindow {
		c.sent = c.sent[1:]
	}
	share := coldShare * limit / float64(max(sendingVMs, 1))
	if share < 1 {
		return rank < share && len(c.sent) == 0
	}
	return len(c.sent) < int(share)
}

func (c *coldStart) recordSent(now model.Time) {
	if now < c.endsAt {
		c.sent = append(c.sent, now)
	}
}

// coldAllows reports whether the limit for cold servers allows a request to a server.
func (s *State) coldAllows(q *query, set model.ReplicaSet, srv *serverStats, now model.Time) bool {
	rate := s.view.Config.Sets[set].ColdRate
	if rate <= 0 {
		return true // the replica set has no limit
	}
	return srv.cold.allows(rate*s.cfg.Cold.Factor+s.cfg.Cold.Slack, s.sendingVMs(q.route), srv.rank, now)
}

// sendingVMs returns the number of VMs that send the requests of a route: the senders if the route
// is gathered, else all serving VMs.
func (s *State) sendingVMs(r *route) int {
	if r.Gathers() {
		return max(len(s.view.Senders), 1)
	}
	return max(s.view.ServingVMs, 1)
}
