package directory

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

func (s *State) apply(k Kind, changes []Change, now model.Time) {
	for _, c := range changes {
		if c.Problem != "" {
			s.log(logline.Warn, "object cannot be used", logline.F("kind", k), logline.F("name", c.Name),
				logline.F("revision", c.Revision), logline.F("cause", c.Problem))
		}
		s.keep(k, c)
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

// keep remembers an object as the store has it, for other VMs.
func (s *State) keep(k Kind, c Change) {
	if c.Removed {
		delete(s.objects[k], c.Name)
		return
	}
	s.objects[k][c.Name] = c
}

// applyConfig replaces the configuration by a newer one. A configuration that is removed or
// cannot be read leaves the last one in force.
func (s *State) applyConfig(c Change, now model.Time) {
	cfg, ok := c.Value.(*model.EntryConfig)
	if !ok {
		return
	}
	if s.config != nil && (cfg.Version <= s.config.Version || cfg.Revision <= s.config.Revision) {
		return
	}
	old := uint64(0)
	if s.config != nil {
		old = s.config.Version
	}
	s.log(logline.Info, "configuration is in force", logline.F("version", cfg.Version), logline.F("before", old),
		logline.F("revision", cfg.Revision), logline.F("routes", len(cfg.Routes)),
		logline.F("last_answer_ago", now.Sub(s.reads[KindConfig].okAt)))
	s.config = cfg
	s.changed = true
}

// applyReplica takes the entry of a backend server. An entry that cannot be read names no
// server; one of an earlier start than the known one is late and is left out.
func (s *State) applyReplica(c Change, now model.Time) {
	old, known := s.replicas[c.Name]
	r, readable := c.Value.(*model.Replica)
	if c.Removed || !readable {
		if known {
			s.removeReplica(c, old, now)
		}
		return
	}
	if known && r.StartedAt.Before(old.value.StartedAt) {
		s.log(logline.Info, "entry of an earlier start of a server left out", logline.F("server", c.Name),
			logline.F("revision", c.Revision))
		return
	}
	s.replicas[c.Name] = &replica{value: *r}
	s.changed = true
	if !known || old.value.Draining != r.Draining || !old.value.StartedAt.Equal(r.StartedAt) {
		s.log(logline.Info, "server", logline.F("server", r.ID), logline.F("set", r.Set), logline.F("address", r.Address),
			logline.F("zone", r.Zone), logline.F("draining", r.Draining), logline.F("revision", c.Revision))
	}
}

func (s *State) removeReplica(c Change, old *replica, now model.Time) {
	if now < s.doubtUntil && !old.value.Draining {
		old.lapsed = true
		s.log(logline.Info, "server's entry lapsed while the store was away, kept for now",
			logline.F("server", c.Name), logline.F("until", s.doubtUntil))
		return
	}
	delete(s.replicas, c.Name)
	s.changed = true
	s.log(logline.Info, "server is gone", logline.F("server", c.Name), logline.F("set", old.value.Set), logline.F("revision", c.Revision))
}

// endDoubt forgets the servers whose entries did not come back after an outage of the store.
func (s *State) endDoubt(now model.Time) {
	if s.doubtUntil == 0 || now < s.doubtUntil {
		return
	}
	s.doubtUntil = 0
	for _, name := range keysOf(s.replicas) {
		if s.replicas[name].lapsed {
			delete(s.replicas, name)
			s.changed = true
			s.log(logline.Info, "server did not come back after the outage of the store", logline.F("server", name))
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
	s.changed = true
	s.log(logline.Info, "zone", logline.F("zone", c.Name), logline.F("out", !c.Removed), logline.F("revision", c.Revision))
}

func (s *State) applyVM(c Change, now model.Time) {
	vm, ok := c.Value.(*model.EntryVM)
	if c.Removed || !ok {
		if _, known := s.vms[c.Name]; known {
			delete(s.vms, c.Name)
			s.order = nil
			s.changed = true
		}
		return
	}
	if old, known := s.vms[c.Name]; known && old.revision == c.Revision {
		return
	}
	s.vms[c.Name] = &knownVM{value: *vm, revision: c.Revision, seenAt: now}
	s.order = nil
	s.changed = true
}
