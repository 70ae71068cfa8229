package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const ms = time.Millisecond

// scenario is one test case: the result of run must equal want.
type scenario struct {
	name string
	run  func(h *harness) string
	want string
}

func runScenarios(t *testing.T, table []scenario) {
	t.Helper()
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(newView(2))
			got := c.run(h)
			if len(h.violations.count) > 0 {
				t.Error(h.violations.String())
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// sendOne sends a search, modified by change if it is not nil, and returns its query ID.
func (h *harness) sendOne(change func(*model.SubRequest)) model.QueryID {
	s := h.newSearch(0)
	if change != nil {
		change(&s)
	}
	h.send(s)
	return s.Query
}

func (h *harness) sendMany(n int, change func(*model.SubRequest)) []model.QueryID {
	var all []model.QueryID
	for range n {
		all = append(all, h.sendOne(change))
	}
	return all
}

func submit(key string) func(*model.SubRequest) {
	return func(s *model.SubRequest) { s.Kind, s.Dedupe = model.KindSubmit, key }
}

func repeat(key string) func(*model.SubRequest) {
	return func(s *model.SubRequest) { submit(key)(s); s.Repeat = true }
}

// lastAttempt returns the last attempt of a query.
func (h *harness) lastAttempt(q model.QueryID) effect.StartAttempt {
	for _, e := range slices.Backward(h.started) {
		if e.Query == q {
			return e
		}
	}
	return effect.StartAttempt{}
}

func (h *harness) endLastAttempt(q model.QueryID, outcome model.OutcomeCode) {
	h.endAttempt(h.lastAttempt(q).Attempt, model.AttemptResult{Outcome: outcome, Boot: 1})
}

// serve runs n sequential searches of duration d each, without wake-ups in between.
func (h *harness) serve(n int, d time.Duration) {
	for range n {
		q := h.sendOne(nil)
		h.now = h.now.Add(d)
		h.endLastAttempt(q, model.OutcomeOK)
	}
}

// loads returns "inflight/limit" of each replica of key 0.
func (h *harness) loads() string {
	var parts []string
	for _, l := range h.owner.Load(h.now) {
		if l.Key == keyOf(0) {
			parts = append(parts, fmt.Sprintf("%d/%d", l.InFlight, l.Limit))
		}
	}
	return strings.Join(parts, " ")
}

// firstReply returns the first reply to a query, or the zero value.
func (h *harness) firstReply(q model.QueryID) model.SubReply {
	if t := h.subs[q]; len(t.replies) > 0 {
		return t.replies[0]
	}
	return model.SubReply{}
}

func (h *harness) outcomes(qs ...model.QueryID) string {
	var parts []string
	for _, q := range qs {
		parts = append(parts, h.outcome(q))
	}
	return strings.Join(parts, ", ")
}

func (h *harness) setLease(l model.Lease) {
	h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) { v.Leases[keyOf(0)] = l }))
}

func (h *harness) setZone(z model.AvailabilityZone, out bool) {
	h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) { v.Config.ZonesOut[z] = out }))
}

// TestOwnership guards against attempts for a key without a valid lease, for another boot of
// this VM or for another partition map.
func TestOwnership(t *testing.T) {
	runScenarios(t, []scenario{
		{"no lease", func(h *harness) string {
			return h.outcome(h.sendOne(func(s *model.SubRequest) { s.Key = keyOf(9) }))
		}, "not owner"},
		{"other boot", func(h *harness) string {
			return h.outcome(h.sendOne(func(s *model.SubRequest) { s.Owner.Boot++ }))
		}, "not owner"},
		{"other VM", func(h *harness) string {
			q := h.sendOne(func(s *model.SubRequest) { s.Owner.VM = "vm-z" })
			return h.outcome(q) + " " + string(h.firstReply(q).Owner.VM)
		}, "not owner vm-a"},
		{"other epoch", func(h *harness) string {
			return h.outcome(h.sendOne(func(s *model.SubRequest) { s.Epoch++ }))
		}, "epoch changed"},
		{"epoch changes in queue", func(h *harness) string {
			qs := h.sendMany(7, nil)
			h.setView(changeView(h.view, func(_ *model.View, c *model.VersionConfig) { c.Epoch++ }))
			h.endLastAttempt(qs[0], model.OutcomeOK)
			return h.outcomes(qs[0], qs[6])
		}, "ok, epoch changed"},
		{"no time left on receipt", func(h *harness) string {
			return h.outcome(h.sendOne(func(s *model.SubRequest) { s.Budget = 0 }))
		}, "expired"},
		{"lease expires", func(h *harness) string {
			h.setLease(model.Lease{Until: h.now.Add(50 * ms), Term: 1, Clean: true})
			qs := h.sendMany(7, nil)
			h.advance(60 * ms)
			late := h.sendOne(nil)
			h.endLastAttempt(qs[0], model.OutcomeOK)
			return h.outcomes(qs[0], qs[6], late)
		}, "ok, not owner, not owner"},
		{"view without lease", func(h *harness) string {
			qs := h.sendMany(7, nil)
			h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) { delete(v.Leases, keyOf(0)) }))
			return h.outcomes(qs[6])
		}, "not owner"},
	})
}

// TestSlots guards against more attempts in flight on a server than its limit, and against
// attempts on servers that are not usable.
func TestSlots(t *testing.T) {
	runScenarios(t, []scenario{
		{"spread over replicas, never above the slots", func(h *harness) string {
			h.sendMany(9, nil)
			return h.loads()
		}, "3/3 3/3"},
		{"connections below slots", func(h *harness) string {
			h.setView(changeView(h.view, func(_ *model.View, c *model.VersionConfig) { c.Limits.Connections = 2 }))
			h.sendMany(9, nil)
			return h.loads()
		}, "2/2 2/2"},
		{"attempts of the previous owner occupy slots until they end", func(h *harness) string {
			until := h.now.Add(20 * ms)
			lease := warmLease(0, 2)
			lease.Running = []model.RunningAttempt{
				{Server: serverOf(0, 0), Until: until}, {Server: serverOf(0, 0), Until: until},
			}
			h.setLease(lease)
			h.sendMany(9, nil)
			before := len(h.started)
			h.advance(20 * ms)
			return fmt.Sprint(before, " ", len(h.started))
		}, "4 6"},
		{"a cancelled attempt occupies its slot until it is done", func(h *harness) string {
			qs := h.sendMany(7, nil)
			h.cancel(qs[0])
			before := h.loads()
			h.endLastAttempt(qs[0], model.OutcomeCancelled)
			return fmt.Sprint(before, " ", h.lastAttempt(qs[6]).Attempt, " ", len(h.subs[qs[0]].replies))
		}, "3/3 3/3 7 0"},
		{"a duplicated attempt result frees one slot", func(h *harness) string {
			qs := h.sendMany(8, nil)
			id := h.lastAttempt(qs[0]).Attempt
			h.endAttempt(id, model.AttemptResult{Outcome: model.OutcomeOK})
			h.endAttempt(id, model.AttemptResult{Outcome: model.OutcomeOK})
			return h.loads()
		}, "3/3 3/3"},
		{"a leaving server gets no attempts", func(h *harness) string {
			h.setView(changeView(h.view, func(_ *model.View, c *model.VersionConfig) {
				c.Shards = slices.Clone(c.Shards)
				c.Shards[0].Replicas = slices.Clone(c.Shards[0].Replicas)
				c.Shards[0].Replicas[0].Leaving = true
			}))
			h.sendMany(9, nil)
			return h.loads()
		}, "0/3 3/3"},
		{"servers in zones that are not allowed get no attempts", func(h *harness) string {
			h.setView(changeView(h.view, func(v *model.View, _ *model.VersionConfig) {
				v.Config.Templates["haugland"].AllowedZones = []model.AvailabilityZone{zoneB}
			}))
			h.sendMany(9, nil)
			return h.loads()
		}, "0/3 3/3"},
		{"a replica that failed recently is used last", func(h *harness) string {
			h.endLastAttempt(h.sendOne(nil), model.OutcomeFailed)
			h.sendMany(3, nil)
			return h.loads()
		}, "1/3 3/3"}, // the retry and two searches fill the other replica
		{"a replica that fails repeatedly gets no attempts", func(h *harness) string {
			h.setZone(zoneB, true)
			for range 3 {
				h.endLastAttempt(h.sendOne(nil), model.OutcomeFailed)
			}
			h.setZone(zoneB, false)
			h.sendMany(3, nil)
			before := h.loads()
			h.advance(250 * ms)
			return before + ", " + h.loads()
		}, "0/3 1/1, 2/3 1/1"},
		{"a duplicated search runs once", func(h *harness) string {
			s := h.newSearch(0)
			h.send(s, s)
			return h.loads()
		}, "1/3 0/3"},
		{"a queued retry whose last replica becomes unusable", func(h *harness) string {
			qs := h.sendMany(6, nil)
			h.endLastAttempt(qs[0], model.OutcomeShed)
			waits := h.outcome(qs[0])
			h.setZone(zoneB, true)
			return waits + ", " + h.outcome(qs[0])
		}, "0 replies, shed"},
		{"no usable replica", func(h *harness) string {
			qs := h.sendMany(7, nil)
			h.setZone(zoneA, true)
			h.setZone(zoneB, true)
			return h.outcomes(qs[6], h.sendOne(nil))
		}, "no server, no server"},
	})
}

// TestColdStart guards against limits that are raised too early, or not reduced after a restart
// or overload.
func TestColdStart(t *testing.T) {
	end := func(outcome model.OutcomeCode, boot model.Boot) func(h *harness) string {
		return func(h *harness) string {
			h.serve(8, 8*ms)
			q := h.sendOne(nil)
			h.endAttempt(h.lastAttempt(q).Attempt, model.AttemptResult{Outcome: outcome, Boot: boot})
			return h.loads()
		}
	}
	runScenarios(t, []scenario{
		{"lease without release", func(h *harness) string {
			h.setLease(model.Lease{Until: model.Never, Term: 2})
			h.sendMany(9, nil)
			return h.loads()
		}, "1/1 1/1"},
		{"released as warm", func(h *harness) string {
			h.setLease(warmLease(0, 2))
			return h.loads()
		}, "0/3 0/3"},
		{"released without states", func(h *harness) string {
			h.setLease(model.Lease{Until: model.Never, Term: 2, Clean: true})
			return h.loads()
		}, "0/1 0/1"},
		{"limit raised after eight completions", func(h *harness) string {
			h.setZone(zoneB, true)
			h.setLease(model.Lease{Until: model.Never, Term: 2})
			h.serve(7, 8*ms)
			seven := h.loads()
			h.serve(1, 8*ms)
			eight := h.loads()
			h.serve(8, 8*ms)
			return strings.Join([]string{seven, eight, h.loads()}, ", ")
		}, "0/1 0/1, 0/2 0/1, 0/3 0/1"},
		{"new boot", end(model.OutcomeOK, 2), "0/1 0/3"},
		{"late reply of the old boot", func(h *harness) string {
			h.setZone(zoneB, true)
			qs := h.sendMany(3, nil)
			h.endAttempt(h.lastAttempt(qs[0]).Attempt, model.AttemptResult{Boot: 1})
			h.endAttempt(h.lastAttempt(qs[1]).Attempt, model.AttemptResult{Boot: 2})
			h.endAttempt(h.lastAttempt(qs[2]).Attempt, model.AttemptResult{Boot: 1})
			q := h.sendOne(nil)
			h.endAttempt(h.lastAttempt(q).Attempt, model.AttemptResult{Boot: 2})
			return fmt.Sprint(h.loads(), " ", h.counts[admission.CountColdStarts])
		}, "0/1 0/3 1"},
		{"completions of attempts from before a restart do not count", func(h *harness) string {
			h.setZone(zoneB, true)
			qs := h.sendMany(3, nil)
			h.endLastAttempt(qs[0], model.OutcomeLost)
			h.endLastAttempt(qs[1], model.OutcomeOK)
			h.endLastAttempt(qs[2], model.OutcomeOK)
			h.serve(7, 8*ms)
			return h.loads()
		}, "0/1 0/3"},
		{"attempt lost", end(model.OutcomeLost, 0), "0/1 1/3"},
		{"failure keeps the limit", end(model.OutcomeFailed, 1), "0/3 1/3"},
		{"shed lowers the limit by one", func(h *harness) string {
			h.setZone(zoneB, true)
			h.endLastAttempt(h.sendOne(nil), model.OutcomeShed)
			first := h.loads()
			h.serve(40, ms)
			held := h.loads()
			h.advance(time.Second)
			h.serve(8, ms)
			return strings.Join([]string{first, held, h.loads()}, ", ")
		}, "0/2 0/3, 0/2 0/3, 0/3 0/3"},
		{"a burst of sheds counts once", func(h *harness) string {
			h.setZone(zoneB, true)
			for _, q := range h.sendMany(3, nil) {
				h.advance(ms)
				h.endLastAttempt(q, model.OutcomeShed)
			}
			return h.loads()
		}, "0/2 0/3"},
		{"sheds reduce the limit to zero during the hold", func(h *harness) string {
			h.setZone(zoneB, true)
			for range 3 {
				q := h.sendOne(nil)
				h.advance(ms)
				h.endLastAttempt(q, model.OutcomeShed)
			}
			held := h.loads()
			q := h.sendOne(func(s *model.SubRequest) { s.Budget = 2 * time.Second })
			h.advance(time.Second)
			return held + ", " + h.loads() + ", " + fmt.Sprint(h.lastAttempt(q).Attempt)
		}, "0/0 0/3, 1/1 0/3, 4"},
		{"latency step", func(h *harness) string {
			h.setZone(zoneB, true)
			h.serve(400, 8*ms)
			h.serve(4, 80*ms)
			beforeStep := h.loads()
			h.serve(1, 80*ms)
			return beforeStep + ", " + h.loads()
		}, "0/3 0/3, 0/1 0/3"},
		{"zone that is enabled again", func(h *harness) string {
			h.setZone(zoneA, true)
			h.setZone(zoneA, false)
			return h.loads()
		}, "0/1 0/3"},
		{"added replica", func(h *harness) string {
			h.setView(changeView(h.view, func(_ *model.View, c *model.VersionConfig) {
				c.Shards = slices.Clone(c.Shards)
				extra := model.BackendServer{ID: "s0000-2", Zone: zoneA}
				c.Shards[0].Replicas = append(slices.Clone(c.Shards[0].Replicas), extra)
			}))
			return h.loads()
		}, "0/3 0/3 0/1"},
	})
}

// TestColdServersWarmUp guards against cold servers that crash, or do not become warm, when an
// owner takes over a key under full load. The servers crash above their cold-start limit.
func TestColdServersWarmUp(t *testing.T) {
	is := is.New(t)
	v := newView(1)
	v.Leases[keyOf(0)] = model.Lease{Until: model.Never, Term: 1}
	h := newHarness(v)
	f := newFleet(h, rand.New(rand.NewPCG(3, 3)))
	answered := 0
	for range 2000 {
		h.sendOne(func(s *model.SubRequest) { s.Budget = 200 * ms })
		f.run(2 * ms)
	}
	finish(f)
	for _, tr := range h.subs {
		if len(tr.replies) == 1 && tr.replies[0].Outcome == model.OutcomeOK {
			answered++
		}
	}
	t.Logf("crashes %d, answered %d of 2000, maximum in flight %d, counts %v", f.crashes, answered, h.peak, h.counts)
	is.Equal(f.crashes, 0)
	is.True(answered > 1900)
	is.Equal(len(h.violations.count), 0)
}

// TestQueue guards against a wrong order of queued requests, and against refusals of a higher
// class before a lower one.
func TestQueue(t *testing.T) {
	class := func(c model.Class, budget time.Duration) func(*model.SubRequest) {
		return func(s *model.SubRequest) { s.Class, s.Budget = c, budget }
	}
	runScenarios(t, []scenario{
		{"class, then deadline", func(h *harness) string {
			full := h.sendMany(6, nil)
			low := h.sendOne(class(1, 100*ms))
			late := h.sendOne(class(0, 900*ms))
			soon := h.sendOne(class(0, 300*ms))
			for _, q := range full[:3] {
				h.endLastAttempt(q, model.OutcomeOK)
			}
			return fmt.Sprint(h.lastAttempt(soon).Attempt, h.lastAttempt(late).Attempt, h.lastAttempt(low).Attempt)
		}, "7 8 9"},
		{"deadline passes in queue", func(h *harness) string {
			h.sendMany(6, nil)
			q := h.sendOne(class(0, 30*ms))
			h.advance(30 * ms)
			return h.outcome(q)
		}, "expired"},
		{"estimated wait too long", func(h *harness) string {
			h.serve(40, 12*ms)
			h.sendMany(6, nil)
			low := h.sendMany(10, class(1, 20*ms)) // 12 ms on 6 slots: 2 ms each
			high := h.sendMany(3, class(0, 20*ms))
			return h.outcomes(low[6], low[7], low[9]) + fmt.Sprint(" ", len(h.subs[high[2]].replies))
		}, "0 replies, shed, shed 0"},
		{"queue full", func(h *harness) string {
			h.sendMany(6, nil)
			low := h.sendMany(admission.MaxQueue, class(1, time.Second))
			high := h.sendOne(class(0, time.Second))
			return h.outcomes(low[0], low[admission.MaxQueue-1], high)
		}, "0 replies, shed, 0 replies"},
		{"attempt timeout", func(h *harness) string {
			short := h.sendOne(class(0, 90*ms))
			long := h.sendOne(class(0, 900*ms))
			return fmt.Sprint(h.lastAttempt(short).Timeout, h.lastAttempt(long).Timeout)
		}, "90ms 400ms"},
		{"peer lost", func(h *harness) string {
			qs := h.sendMany(7, nil)
			losePeer(h, "vm-b")
			for _, q := range qs[:6] {
				h.endLastAttempt(q, model.OutcomeCancelled)
			}
			return fmt.Sprint(len(h.cancels), len(h.started), h.owner.Idle())
		}, "6 6 true"},
	})
}

// TestDrain guards against attempts that start after a drain, and against an incomplete report
// to the next owner.
func TestDrain(t *testing.T) {
	runScenarios(t, []scenario{
		{"reports running attempts and submits", func(h *harness) string {
			done := h.sendOne(submit("done"))
			h.endLastAttempt(done, model.OutcomeOK)
			run := h.sendOne(submit("run"))
			h.advance(100 * ms)
			searches := h.sendMany(5, nil)
			wait := h.sendOne(submit("wait"))
			h.drain(0)
			d := h.drained[0]
			h.endLastAttempt(run, model.OutcomeOK)
			if len(d.Running) == 0 {
				return "nothing running"
			}
			return fmt.Sprint(len(d.Running), d.Running[0].Left, d.Submits,
				h.outcomes(wait, run, searches[0], h.sendOne(nil)))
		}, "6 300ms [{done 100ms false} {run 100ms false} {wait 0s true}]not owner, ok, 0 replies, not owner"},
		{"reports the states of usable servers", func(h *harness) string {
			h.setZone(zoneB, true)
			h.setLease(model.Lease{Until: model.Never, Term: 2})
			h.serve(10, 8*ms)
			h.drain(0)
			return fmt.Sprint(h.drained[0].Servers, len(h.drained[0].Running))
		}, "[{s0000-0 1 2 2}] 0"},
		{"a new term serves again", func(h *harness) string {
			h.drain(0)
			h.setLease(model.Lease{Until: model.Never, Term: 2, Clean: true})
			return h.outcome(h.sendOne(nil))
		}, "0 replies"},
		{"no retry after a drain", func(h *harness) string {
			q := h.sendOne(nil)
			h.drain(0)
			h.endLastAttempt(q, model.OutcomeShed)
			return h.outcome(q)
		}, "shed"},
		{"unknown key", func(h *harness) string {
			h.drain(9)
			return fmt.Sprint(h.drained[0].Key.Shard, " ", len(h.drained[0].Running))
		}, "s0009 0"},
	})
}

// TestRepliesAreBatched guards against more than one message to an entry daemon for one event,
// which would raise the message rate.
func TestRepliesAreBatched(t *testing.T) {
	is := is.New(t)
	h := newHarness(newView(2))
	h.sendMany(6, nil)
	h.sendMany(5, func(s *model.SubRequest) { s.Entry = "vm-c" })
	h.sendMany(5, nil)
	var out effect.List
	h.owner.View(&model.View{Self: self, Boot: selfBoot}, h.now, &out)
	var sizes []string
	for _, e := range out.Take() {
		if r, ok := e.(effect.SendSubReplies); ok {
			sizes = append(sizes, fmt.Sprint(r.To, " ", len(r.Replies)))
		}
	}
	is.Equal(sizes, []string{"vm-c 5", "vm-b 5"})
	out.Take()
	h.owner.Cancels(event.CancelsReceived{Entry: "vm-x"}, h.now, &out)
	is.Equal(len(out.Take()), 0)
}
