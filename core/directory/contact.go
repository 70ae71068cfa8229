package directory

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// storeHeard records that the store answered a read, of this VM or of an upstream, at a point in time.
// Entries of running servers expire only while the store is away. Without an answer for ExpiryThreshold
// it may have been away for long enough, and the grace period for their registration begins.
func (s *State) storeHeard(at model.Time) {
	if at <= s.storeHeardAt {
		return
	}
	silent := at.Sub(s.storeHeardAt)
	if s.storeHeardAt != 0 && silent >= s.cfg.ExpiryThreshold {
		s.expiryGraceUntil = at.Add(s.cfg.ReregistrationGrace)
		s.log(logline.Info, "entries may have lapsed while the store was away", logline.F("away", silent), logline.F("kept_for", s.cfg.ReregistrationGrace))
	}
	s.storeHeardAt = at
}

// silentAt returns the time at which the store will have been silent for StoreSilence.
func (s *State) silentAt() model.Time {
	if s.storeHeardAt == 0 {
		return model.Never
	}
	return s.storeHeardAt.Add(s.cfg.StoreSilence)
}

// renewReads starts the running reads again on new connections if the store has been silent for
// StoreSilence: a connection may be dead without a sign, and the upstreams that were to pass on the
// store's answers may be lost. It does so once until the store is heard again, and early enough that
// a store that was there all the time answers before ExpiryThreshold.
func (s *State) renewReads(now model.Time) {
	if now < s.silentAt() || s.readsRenewedAt > s.storeHeardAt {
		return
	}
	s.log(logline.Info, "no answer of the store was heard of, reading it on new connections", logline.F("silent", now.Sub(s.storeHeardAt)))
	s.restartReads(now)
}

// restartReads ends all running reads and makes later ones use new connections.
func (s *State) restartReads(now model.Time) {
	s.readsRenewedAt = now
	s.emit(RestartReads{})
}
