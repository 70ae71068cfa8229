package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// say answers an attempt with a notice.
func (h *harness) say(s Send, n Notice) []Effect {
	return h.apply(AttemptEnded{Attempt: s.Attempt, Outcome: Answered, Notice: n, Reply: &Reply{Status: 200, Signature: "s"}})
}

// sentTo plays n requests and returns the servers that got them, by number.
func (h *harness) sentTo(n int) map[model.BackendServerID]int {
	got := make(map[model.BackendServerID]int)
	for range n {
		before := len(h.sends)
		h.request("/r/q")
		h.now = h.now.Add(5 * time.Millisecond)
		for _, s := range h.sends[before:] {
			got[s.Server.ID]++
			h.reply(s, "x")
		}
	}
	return got
}

// Guards against requests to a server that has said that it leaves: also if its registration stays ready,
// or vanishes and returns; and against leaving out its next start.
func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true))
	h.addServers("files", 2)
	h.request("/r/q")
	leaving := h.sends[0].Server.ID
	h.say(h.sends[0], Notice{Leaving: true})
	is.Equal(h.sentTo(30)[leaving], 0)
	all := h.view.Replicas["files"]
	h.view.Replicas["files"] = nil
	h.apply(ViewPublished{View: h.view})
	h.now = h.now.Add(time.Minute)
	h.view.Replicas["files"] = all
	is.Equal(h.sentTo(30)[leaving], 0)
	for i := range all {
		all[i].StartedAt = all[i].StartedAt.Add(time.Second)
	}
	is.True(h.sentTo(30)[leaving] > 0)
}

// Guards against a set that fails although its servers, all of which leave, still serve for a while; and
// against using them for longer.
func TestServersThatAllLeaveAreUsedBriefly(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true))
	h.addServers("files", 1)
	h.request("/r/q")
	h.say(h.sends[0], Notice{Leaving: true})
	is.Equal(h.sentTo(1)["files-0"], 1)
	h.now = h.now.Add(lastResortTime)
	is.Equal(onlyEffect[Refuse](t, h.request("/r/q")).Code, CodeNotRun)
}

// Guards against requests to a server within the time for which it wants none, and against callers that
// wait for such servers although they cannot be served in time.
func TestRestingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true))
	h.addServers("files", 2)
	h.request("/r/q")
	resting := h.sends[0].Server.ID
	h.say(h.sends[0], Notice{Rest: 3 * time.Second})
	is.Equal(h.sentTo(200)[resting], 0) // 1 s
	h.request("/r/q")
	h.say(h.sends[len(h.sends)-1], Notice{Rest: 3 * time.Second})
	refused := onlyEffect[Refuse](t, h.request("/r/q"))
	is.Equal(refused.Code, CodeNotRun)
	is.True(refused.RetryAfter >= 1900*time.Millisecond) // what is left of the first one's time
	h.now = h.now.Add(2 * time.Second)
	is.True(h.sentTo(20)[resting] > 0)
}
