package dispatch

import (
	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// requestLimit is the limit that a server has stated.
type requestLimit struct {
	perSecond float64    // from all VMs together; 0 if there is none
	statedAt  model.Time // last answer that stated it
}

// observeNotice records what a server says of itself. An answer without a limit ends the limit only if
// its request was sent after the last answer that stated one, since answers may overtake each other.
func (s *State) observeNotice(a *attempt, ev AttemptEnded, now model.Time) {
	if ev.Outcome != Answered && ev.Outcome != NotRun && ev.Notice == (Notice{}) {
		return
	}
	l := &a.stats.limit
	stated := ev.Notice.Limit
	switch {
	case stated > 0:
		l.statedAt = now
	case a.sent < l.statedAt:
		return
	}
	if stated == l.perSecond {
		return
	}
	s.log(logline.Info, "server has stated another limit", a.query, logline.F("set", a.server.Set), logline.F("server", a.server.ID),
		logline.F("per_second", stated), logline.F("before", l.perSecond))
	l.perSecond = stated
}
