package directory

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// confirmTimeout bounds how long a VM that was paused serves nothing while the store does not answer.
// After it the last known state is used, as in any other outage of the store.
const confirmTimeout = 700 * time.Millisecond

// confirmedKinds decide to which servers a request may be sent.
var confirmedKinds = [...]Kind{KindConfig, KindReplicas, KindZonesOut, KindRollouts}

// resumed makes the view unconfirmed until the store has answered a list of each of confirmedKinds.
// Answers to reads that began before, and messages of upstreams, may have waited in a socket during
// the pause, so that they confirm nothing.
func (s *State) resumed(now model.Time) {
	s.resumedAt = now
	s.viewChanged = true
	s.forgetSilence(now)
	for _, k := range confirmedKinds {
		r := &s.reads[k]
		if r.known() {
			r.unconfirmed, r.listNext, r.dueAt = true, true, now
		}
	}
	s.log(logline.Warn, "this VM was paused, its view has to be confirmed", logline.F("age", s.ViewAge(now)))
	s.restartReads(now)
}

// unconfirmed reports whether the view has to be confirmed after a pause.
func (s *State) unconfirmed() bool {
	for _, k := range confirmedKinds {
		if s.reads[k].unconfirmed {
			return true
		}
	}
	return false
}

// kindConfirmed ends the unconfirmed state of a kind after the store has answered a read that began
// after the pause.
func (s *State) kindConfirmed(k Kind, now model.Time) {
	if !s.reads[k].unconfirmed {
		return
	}
	s.reads[k].unconfirmed = false
	if !s.unconfirmed() {
		s.viewChanged = true
		s.log(logline.Info, "view is confirmed after a pause", logline.F("after", now.Sub(s.resumedAt)))
	}
}

// endConfirmation uses the last known state if the store has not confirmed it in time.
func (s *State) endConfirmation(now model.Time) {
	if !s.unconfirmed() || now < s.resumedAt.Add(confirmTimeout) {
		return
	}
	for k := range s.reads {
		s.reads[k].unconfirmed = false
	}
	s.viewChanged = true
	s.log(logline.Warn, "store did not confirm the view after a pause, the last known state is used",
		logline.F("age", s.ViewAge(now)))
}
