package dispatch

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/internal/golden"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// record keeps the events and effects of a world as a session.
func (w *world) record(s *golden.Session) {
	w.onEvent = func(ev Event, effects []Effect) {
		s.Event(w.now.Sub(start), ev)
		for _, e := range effects {
			s.Effect(e)
		}
	}
}

// Guards the effects of whole sessions against unintended change.
func TestGoldenSessions(t *testing.T) {
	sessions := map[string]struct {
		routes []model.EntryRoute
		play   func(w *world)
	}{
		"straggler": {[]model.EntryRoute{gathered(3, 0.5)}, func(w *world) {
			for _, set := range w.view.Config.Routes[0].Shards {
				w.servers(set, 2)
			}
			w.request("/s/q")
			w.now = w.now.Add(8 * time.Millisecond)
			w.reply(w.sends[0], "bbbbbbbbbbbbbbbb")
			w.reply(w.sends[1], "aaaaaaaaaaaaaaaa")
			w.wait(80 * time.Millisecond) // the last shard is hedged
			w.wait(80 * time.Millisecond) // the objective is near
			w.reply(w.sends[2], "cccccccccccccccc")
		}},
		"unsafe": {[]model.EntryRoute{single(false)}, func(w *world) {
			w.servers("files", 3)
			w.request("/r/q")
			w.fail(w.sends[0], NotRun) // goes to another server
			w.fail(w.sends[1], Unclear)
			w.request("/r/q")
			w.do(CallerGone{Query: w.next})
			w.fail(w.sends[2], Aborted)
		}},
		"sender": {[]model.EntryRoute{gathered(2, 0.5)}, func(w *world) {
			w.view.Senders = []model.EntryVM{{Name: "large", Address: "large:1"}}
			w.servers("set0", 1)
			w.servers("set1", 1)
			w.request("/s/q")
			w.do(ForwardAccepted{Query: 1})
			w.do(ForwardAnswered{Query: 1, Version: 3, Gathered: &GatheredReply{Signatures: []string{"a"}, Missing: 1}})
			w.request("/s/q")
			w.wait(acceptTimeout) // no acceptance
			w.request("/s/q")     // from here, since the sender is left out
			w.reply(w.sends[0], "bbbbbbbbbbbbbbbb")
			w.reply(w.sends[1], "aaaaaaaaaaaaaaaa")
		}},
	}
	for name, s := range sessions {
		t.Run(name, func(t *testing.T) {
			var log golden.Session
			w := newWorld(t, s.routes...)
			w.record(&log)
			s.play(w)
			log.Check(t, name)
		})
	}
}
