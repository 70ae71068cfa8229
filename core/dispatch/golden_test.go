package dispatch

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/internal/golden"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// recordTo records all further events and effects in a golden session.
func (h *harness) recordTo(s *golden.Session) {
	h.onEvent = func(ev Event, effects []Effect) {
		s.Event(h.now.Sub(start), ev)
		for _, e := range effects {
			s.Effect(e)
		}
	}
}

// Guards against unintended changes of the effects of whole sessions.
func TestGoldenSessions(t *testing.T) {
	sessions := map[string]struct {
		routes []model.EntryRoute
		play   func(h *harness)
	}{
		"straggler": {[]model.EntryRoute{gatheredRoute(3, 0.5)}, func(h *harness) {
			for _, set := range h.view.Config.Routes[0].Shards {
				h.addServers(set, 2)
			}
			h.request("/s/q")
			h.now = h.now.Add(8 * time.Millisecond)
			h.reply(h.sends[0], "bbbbbbbbbbbbbbbb")
			h.reply(h.sends[1], "aaaaaaaaaaaaaaaa")
			h.advance(80 * time.Millisecond) // a hedge of the last shard is due, but the budget is empty
			h.advance(80 * time.Millisecond) // time for a partial answer
			h.reply(h.sends[2], "cccccccccccccccc")
		}},
		"unsafe": {[]model.EntryRoute{singleRoute(false)}, func(h *harness) {
			h.addServers("files", 3)
			h.request("/r/q")
			h.fail(h.sends[0], NotRun) // retried at another server
			h.fail(h.sends[1], Unclear)
			h.request("/r/q")
			h.apply(CallerGone{Query: h.lastQuery})
			h.fail(h.sends[2], Aborted)
		}},
		"sender": {[]model.EntryRoute{gatheredRoute(2, 0.5)}, func(h *harness) {
			h.view.Senders = []model.EntryVM{{Name: "large", Address: "large:1"}}
			h.addServers("set0", 1)
			h.addServers("set1", 1)
			h.request("/s/q")
			h.apply(ForwardAccepted{Query: 1})
			h.apply(ForwardAnswered{Query: 1, Version: 3, Gathered: &GatheredReply{Signatures: []string{"a"}, Missing: 1}})
			h.request("/s/q")
			h.advance(acceptTimeout) // the sender does not accept in time
			h.request("/s/q")        // sent locally, since the sender is avoided
			h.reply(h.sends[0], "bbbbbbbbbbbbbbbb")
			h.reply(h.sends[1], "aaaaaaaaaaaaaaaa")
		}},
	}
	for name, s := range sessions {
		t.Run(name, func(t *testing.T) {
			var log golden.Session
			h := newHarness(t, s.routes...)
			h.recordTo(&log)
			s.play(h)
			log.Check(t, name)
		})
	}
}
