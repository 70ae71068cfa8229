package dispatch

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// A VM learns from senders that a newer configuration than its own is in use. From maxConfigLag on it no
// longer handles requests by its own, since its callers would see an older configuration after a newer one.

// maxConfigLag is how long this VM goes on by its configuration after it has learnt of a newer one. An
// update usually arrives within milliseconds.
const maxConfigLag = 150 * time.Millisecond

// FetchConfig requests the configuration from the store, since version Version is in use and has not
// arrived.
type FetchConfig struct{ Version uint64 }

func (FetchConfig) effect() {}

// newestConfig is the newest configuration that this VM has learnt of from senders.
type newestConfig struct {
	version uint64
	// behindSince is when this VM learnt of a newer configuration than its own; 0 if it has the newest.
	behindSince model.Time
	fetched     uint64 // version for which FetchConfig was emitted last
}

// configSeen records that a sender handles a query by a version of the configuration.
func (s *State) configSeen(version uint64, now model.Time) {
	s.newest.version = max(s.newest.version, version)
	if s.newest.behindSince == 0 && s.configVersion() < version {
		s.newest.behindSince = now
	}
}

// configArrived ends the time in which this VM is behind, if its configuration is the newest.
func (s *State) configArrived() {
	if s.configVersion() >= s.newest.version {
		s.newest.behindSince = 0
	}
}

func (s *State) configVersion() uint64 {
	if s.view.Config == nil {
		return 0
	}
	return s.view.Config.Version
}

// outdated reports whether this VM must not handle requests by its configuration.
func (s *State) outdated(now model.Time) bool {
	return s.newest.behindSince != 0 && now.Sub(s.newest.behindSince) > maxConfigLag
}

// refuseOutdated refuses a query that this VM could handle only by an older configuration, and requests the
// newer one.
func (s *State) refuseOutdated(q *query, now model.Time) {
	s.refuse(q, CodeNotRun, "a newer configuration is in use", now)
	if s.newest.fetched == s.newest.version {
		return
	}
	s.newest.fetched = s.newest.version
	s.log(logline.Warn, "newer configuration is in use and has not arrived", q, logline.F("config", s.configVersion()),
		logline.F("newest", s.newest.version), logline.F("behind", now.Sub(s.newest.behindSince)))
	s.emit(FetchConfig{Version: s.newest.version})
}
