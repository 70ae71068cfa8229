package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// ColdConfig bounds the requests a second to a cold server over all VMs: Factor times the rate
// of its set, plus Slack.
type ColdConfig struct {
	Factor float64
	Slack  float64
}

const (
	// coldShare is the part of the bound that the VMs share; the rest covers requests that are
	// held up on their way and arrive in the same second as later ones.
	coldShare  = 0.6
	coldWindow = time.Second
)

// cold is what a VM knows of a server's cold start.
type cold struct {
	until    model.Time
	sequence uint64 // of the registration that told until
	sent     []model.Time
}

// observeRegistration takes what a registration says about the server's cold start.
func (c *cold) observeRegistration(r *model.Replica, now model.Time) {
	if r.Sequence == c.sequence && c.until != 0 {
		return
	}
	c.sequence = r.Sequence
	c.until = max(c.until, now.Add(r.WarmupLeft))
}

// allows reports whether a cold server may get another request of this VM, which has an equal
// part of the bound. Where the part is less than one request a second, only some VMs send.
func (c *cold) allows(bound float64, sharers int, rank float64, now model.Time) bool {
	if now >= c.until {
		c.sent = nil
		return true
	}
	for len(c.sent) > 0 && now.Sub(c.sent[0]) >= coldWindow {
		c.sent = c.sent[1:]
	}
	part := coldShare * bound / float64(max(sharers, 1))
	if part < 1 {
		return rank < part && len(c.sent) == 0
	}
	return len(c.sent) < int(part)
}

func (c *cold) send(now model.Time) {
	if now < c.until {
		c.sent = append(c.sent, now)
	}
}

// coldAllows reports whether the bound for cold servers allows a request to a server.
func (s *State) coldAllows(q *query, set model.ReplicaSet, srv *server, now model.Time) bool {
	rate := s.view.Config.Sets[set].ColdRate
	if rate <= 0 {
		return true // the set has no bound
	}
	return srv.cold.allows(rate*s.cfg.Cold.Factor+s.cfg.Cold.Slack, s.sharers(q.route), srv.rank, now)
}

// sharers returns the number of VMs that send the requests of a route.
func (s *State) sharers(r *route) int {
	if r.Gathers() {
		return max(len(s.view.Senders), 1)
	}
	return max(s.view.ServingVMs, 1)
}
