package directory

import (
	"maps"
	"slices"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// apply updates the cached objects of a kind and logs those that could not be decoded.
func (s *State) apply(k Kind, changes []Change, now model.Time) {
	for _, c := range changes {
		if c.Problem != "" {
			s.log(logline.Warn, "object could not be decoded", logline.F("kind", k), logline.F("name", c.Name),
				logline.F("revision", c.Position), logline.F("cause", c.Problem))
		}
		if c.Name == "" {
			continue // nothing is known by which it could be replaced or removed
		}
		delete(s.held[k].names, c.Name)
		if s.isOutdated(c, now) {
			s.ignoreOutdated(k, c)
			continue
		}
		s.recordObject(k, c)
		switch k {
		case KindConfig:
			s.applyConfig(c, now)
		case KindReplicas:
			s.applyReplica(c, now)
		case KindZonesOut:
			s.applyZone(c)
		case KindRollouts:
			s.applyRollout(c, now)
		case KindVMs:
			s.applyVM(c, now)
		}
	}
}

// isOutdated reports whether the cached state of an object is the newer one, whatever the positions say. The
// store may have come back from a copy with an older configuration, or with an entry that its server has
// replaced since: it may say that the server accepts requests, or that its cold start is over. Or the copy has an
// order of a rollout that an operator has replaced since.
func (s *State) isOutdated(c Change, now model.Time) bool {
	switch v := c.Value.(type) {
	case *model.EntryConfig:
		return s.config != nil && v.Version < s.config.Version
	case *model.Replica:
		old, ok := s.replicas[c.Name]
		return ok && old.position.Era < c.Position.Era && v.StartedAt.Equal(old.value.StartedAt) && v.Sequence < old.value.Sequence
	case *model.Rollout:
		return s.fullUpdate && s.wasReplaced(c, v, now)
	}
	return false
}

// ignoreOutdated keeps the cached state of an object, which the store still has in an older one.
func (s *State) ignoreOutdated(k Kind, c Change) {
	if r, ok := s.replicas[c.Name]; ok && k == KindReplicas {
		r.expired = false
	}
	s.log(logline.Info, "ignored an older state of an object", logline.F("kind", k), logline.F("name", c.Name), logline.F("revision", c.Position))
}

// recordObject stores an object as received from the store, to send it to new followers.
func (s *State) recordObject(k Kind, c Change) {
	if c.Removed {
		delete(s.objects[k], c.Name)
		return
	}
	s.objects[k][c.Name] = c
}

// applyConfig puts a newer configuration in force. If the configuration is removed or cannot be decoded, the
// last one stays in force.
func (s *State) applyConfig(c Change, now model.Time) {
	cfg, ok := c.Value.(*model.EntryConfig)
	if !ok {
		return
	}
	if s.config != nil && cfg.Version <= s.config.Version {
		return
	}
	old := uint64(0)
	if s.config != nil {
		old = s.config.Version
	}
	s.log(logline.Info, "configuration is in force", logline.F("version", cfg.Version), logline.F("before", old),
		logline.F("revision", c.Position), logline.F("routes", len(cfg.Routes)),
		logline.F("last_answer_ago", now.Sub(s.reads[KindConfig].confirmedAt)))
	s.config = cfg
	s.viewChanged = true
	s.reads[KindConfig].behind = false
}

// applyReplica applies the entry of a backend server. An entry that cannot be decoded counts as
// removed. An entry from an earlier start of the server than the cached one arrived late and is
// ignored.
func (s *State) applyReplica(c Change, now model.Time) {
	old, known := s.replicas[c.Name]
	r, decoded := c.Value.(*model.Replica)
	if c.Removed || !decoded {
		if known {
			s.removeReplica(c, old, now)
		}
		return
	}
	if known && r.StartedAt.Before(old.value.StartedAt) {
		s.log(logline.Info, "ignored a late entry from before the server's last start", logline.F("server", c.Name),
			logline.F("revision", c.Position))
		return
	}
	s.replicas[c.Name] = &replica{value: *r, position: c.Position, doubtedUntil: s.doubtEnd(c, r, now)}
	delete(s.departed, c.Name)
	s.viewChanged, s.versionsDue = true, true
	if !known || old.value.Draining != r.Draining || !old.value.StartedAt.Equal(r.StartedAt) {
		s.log(logline.Info, "server", logline.F("server", r.ID), logline.F("set", r.Set), logline.F("version", r.Version), logline.F("address", r.Address),
			logline.F("zone", r.Zone), logline.F("draining", r.Draining), logline.F("revision", c.Position))
	}
}

// removeReplica removes a backend server. Shortly after an outage of the store the removal of a
// server that was not draining counts as an expiration of its entry, and the server stays in use
// until expiryGraceUntil to give it time to register again.
func (s *State) removeReplica(c Change, old *replica, now model.Time) {
	if now < s.expiryGraceUntil && !old.value.Draining {
		old.expired = true
		s.log(logline.Info, "server's entry expired during a store outage, server kept until it may register again",
			logline.F("server", c.Name), logline.F("until", s.expiryGraceUntil))
		return
	}
	delete(s.replicas, c.Name)
	s.recordDeparture(c.Name, c.Position, old, now)
	s.viewChanged, s.versionsDue = true, true
	s.log(logline.Info, "server is gone", logline.F("server", c.Name), logline.F("set", old.value.Set), logline.F("revision", c.Position))
}

// removeExpired removes the servers that did not register again within the grace period after an
// outage of the store.
func (s *State) removeExpired(now model.Time) {
	if s.expiryGraceUntil == 0 || now < s.expiryGraceUntil {
		return
	}
	s.expiryGraceUntil = 0
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		if r := s.replicas[name]; r.expired {
			delete(s.replicas, name)
			s.recordDeparture(name, s.reads[KindReplicas].position, r, now)
			s.viewChanged, s.versionsDue = true, true
			s.log(logline.Info, "server removed: it did not register again after the store outage", logline.F("server", name))
		}
	}
}

func (s *State) applyZone(c Change) {
	if c.Removed == !s.zonesOut[c.Name] {
		return
	}
	if c.Removed {
		delete(s.zonesOut, c.Name)
	} else {
		s.zonesOut[c.Name] = true
	}
	s.viewChanged = true
	s.log(logline.Info, "zone", logline.F("zone", c.Name), logline.F("out", !c.Removed), logline.F("revision", c.Position))
}
