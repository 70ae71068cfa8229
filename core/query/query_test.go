package query_test

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/query"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/matryer/is"
)

// TestRefusedBeforePlan guards against requests that are refused with the wrong code or sent
// although they are invalid.
func TestRefusedBeforePlan(t *testing.T) {
	empty, draining, ready := newView(2, 1), newView(2, 1), newView(2, 1)
	empty.Config = &model.ConfigView{}
	draining.Draining = true
	other := model.Route{Customer: "haugland", Route: "none"}
	tests := []struct {
		name  string
		view  *model.View
		r     model.Request
		code  model.RefusalCode
		retry bool
	}{
		{"no view", nil, model.Request{}, model.RefusedNotRun, true},
		{"no template", empty, model.Request{}, model.RefusedNotRun, true},
		{"draining", draining, model.Request{}, model.RefusedNotRun, true},
		{"customer", ready, model.Request{Route: model.Route{Customer: "x"}}, model.RefusedInvalid, false},
		{"route", ready, model.Request{Route: other}, model.RefusedInvalid, false},
		{"class", ready, model.Request{ClassName: "x"}, model.RefusedInvalid, false},
		{"kind", ready, model.Request{Kind: 9}, model.RefusedInvalid, false},
		{"limit", ready, model.Request{Limit: -1}, model.RefusedInvalid, false},
		{"shard of a read", ready, model.Request{Kind: model.KindRead, Shard: "x"}, model.RefusedInvalid, false},
		{"shard of a submit", ready, model.Request{Kind: model.KindSubmit}, model.RefusedInvalid, false},
		{"coverage", ready, model.Request{MinCoverage: 1.1}, model.RefusedInvalid, false},
		{"no time", ready, model.Request{Budget: ms}, model.RefusedNotRun, false},
		{"no shards", newView(0, 1), model.Request{}, model.RefusedNotRun, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, test.view)
			d.request(test.r)
			is.Equal(d.code(), test.code)
			is.True(d.only().Refusal.Step != "" && d.only().Refusal.Reason != "")
			is.Equal(d.only().Refusal.RetryAfter > 0, test.retry)
			is.Equal(len(d.sent), 0)
			is.Equal(d.table.Running(), 0)
		})
	}
}

// TestPlan guards the plan: one message per owner, one version, the share of a move.
func TestPlan(t *testing.T) {
	is := is.New(t)
	view := newView(7, 4)
	d := newDriver(1, view)
	sent := d.search(1)
	is.Equal(len(sent), 7)
	is.Equal(d.batches, 3)
	is.Equal(sent[6].to, testVMs[0])
	is.Equal(sent[6].Owner, model.Owner{VM: testVMs[0], Boot: 1})
	is.Equal(sent[6].Epoch, uint64(4))
	is.Equal(sent[6].Snapshot, model.Snapshot(0))
	is.Equal(sent[6].Budget, 100*ms-query.AnswerReserve-query.HopReserve)

	view = newView(3, 1)
	view.Config.Shares = map[model.Route]model.VersionShare{testRoute: {Move: "m", From: "v1", To: "v2", Share: 0.25}}
	d = newDriver(1, view)
	moved := 0
	for id := range model.QueryID(1000) {
		sent := d.search(id)
		is.Equal(sent[0].Key.Version, sent[2].Key.Version)
		if sent[0].Key.Version == "v2" {
			moved++
		}
	}
	is.True(moved > 200 && moved < 300)
}

// TestCompleteAnswer guards merging, and the pin of the next query by the ranges seen.
func TestCompleteAnswer(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(3, 1))
	d.request(model.Request{Query: 1, Limit: 3})
	sent := d.takeByShard()
	hits := [][]model.Hit{
		{{Document: "a", Score: 1}, {Document: "b", Score: 3}},
		{{Document: "b", Score: 2}, {Document: "c", Score: 3}},
		{{Document: "d", Score: 0}},
	}
	for i, s := range sent {
		is.Equal(len(d.replies), 0)
		r := replyTo(s, model.OutcomeOK, 5, 8)
		r.Newest += model.Snapshot(i)
		r.Hits = hits[i]
		d.reply(s.to, r)
	}
	a := d.answer()
	is.True(a.Coverage.Complete())
	is.Equal(a.Hits, []model.Hit{{Document: "b", Score: 3}, {Document: "c", Score: 3}, {Document: "a", Score: 1}})
	is.Equal(a.Snapshot, model.Snapshot(8))
	is.Equal([]int{a.Attempts, a.Needed}, []int{3, 3})
	is.Equal(d.search(2)[0].Snapshot, model.Snapshot(8))
}

// TestDroppedReplies guards against replies that reach a query they do not belong to.
func TestDroppedReplies(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(2, 1))
	s := d.search(1)
	r := replyTo(s[0], model.OutcomeOK, 1, 2)
	other := r
	other.Query = 2
	d.reply(s[0].to, other)
	other = r
	other.Run--
	d.reply(s[0].to, other)
	other = r
	other.Key.Version = "v2"
	d.reply(s[0].to, other)
	d.reply(s[1].to, r)
	d.reply(s[0].to, r, r)
	is.Equal(len(d.replies), 0)
	is.Equal(d.counts, map[string]int64{query.CountLateReplies: 1, query.CountOldRunReplies: 1,
		query.CountForeignReplies: 2, query.CountDuplicateReplies: 1})
	d.request(model.Request{Query: 1})
	is.Equal(d.counts[query.CountDuplicateQueries], int64(1))
	d.apply(event.SendFailed{To: s[0].to, Requests: []model.SubRequest{s[0].SubRequest}})
	d.result(model.OutcomeOK, 1, 2, s[1])
	is.True(d.answer().Coverage.Complete())
}

// TestDeadline guards the partial answer: it comes before the caller's deadline, with true
// coverage, and the straggler is withdrawn. Below the floor it is a refusal.
func TestDeadline(t *testing.T) {
	tests := []struct {
		name     string
		least    float64
		answered int
		refused  model.RefusalCode
	}{
		{"floor of the route met", -1, 2, ""},
		{"floor of the route missed", -1, 1, model.RefusedLowCoverage},
		{"floor of the request met", 0.25, 1, ""},
		{"floor of the request missed", 0.9, 3, model.RefusedLowCoverage},
		{"nothing answered", 0, 0, model.RefusedLowCoverage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(4, 1))
			d.request(model.Request{Query: 1, MinCoverage: test.least})
			s := d.takeByShard()
			d.result(model.OutcomeOK, 1, 2, s[:test.answered]...)
			d.advance(100*ms - query.AnswerReserve - 1)
			is.Equal(len(d.replies), 0)
			d.advance(100*ms - query.AnswerReserve)
			is.Equal(d.code(), test.refused)
			is.Equal(len(d.cancels), 4-test.answered)
			coverage := d.answer().Coverage
			if test.refused != "" {
				coverage = *d.only().Refusal.Coverage
			}
			is.Equal(coverage.Answered, test.answered)
			is.Equal(coverage.Missing[0], model.MissingShard{
				Shard: s[test.answered].Key.Shard, Reason: model.MissingTimeout, Peer: string(s[test.answered].to)})
			d.result(model.OutcomeOK, 1, 2, s[3])
			is.Equal(d.counts[query.CountLateReplies], int64(1))
		})
	}
}

// TestMissingReasons guards the reason for each outcome that an owner may reply.
func TestMissingReasons(t *testing.T) {
	for outcome, reason := range map[model.OutcomeCode]model.MissingReason{
		model.OutcomeShed: model.MissingShed, model.OutcomeExpired: model.MissingTimeout,
		model.OutcomeNoServer: model.MissingNoServer, model.OutcomeFailed: model.MissingFailed,
		model.OutcomeTimeout: model.MissingTimeout, model.OutcomeLost: model.MissingFailed,
		model.OutcomeSnapshotGone: model.MissingSnapshotGone, 77: model.MissingFailed,
	} {
		is := is.New(t)
		d := newDriver(1, newView(2, 1))
		s := d.search(1)
		d.result(model.OutcomeOK, 2, 2, s[0])
		r := replyTo(s[1], outcome, 1, 1)
		r.Server = "server-7"
		d.reply(s[1].to, r)
		is.Equal(d.answer().Coverage.Missing, []model.MissingShard{{Shard: s[1].Key.Shard, Reason: reason, Peer: "server-7"}})
		is.Equal(d.answer().Needed, 2)
	}
}

// TestRestart guards the second run: when it happens, on which snapshot, and never twice.
func TestRestart(t *testing.T) {
	seen := func(d *driver, oldest, newest model.Snapshot) {
		d.result(model.OutcomeOK, oldest, newest, d.search(9)...)
		d.replies = nil
	}
	tests := []struct {
		name    string
		play    func(d *driver)
		pin     model.Snapshot // of the second run, 0 for none
		chosen  model.Snapshot // of the answer without a second run
		covered int
		cancels int // sub-requests withdrawn
	}{
		{"unpinned replies differ", func(d *driver) {
			s := d.search(1)
			d.result(model.OutcomeOK, 4, 6, s[:3]...)
			d.result(model.OutcomeOK, 3, 5, s[3])
		}, 5, 0, 0, 0},
		{"unpinned replies differ after half of the time", func(d *driver) {
			s := d.search(1)
			d.advance(51 * ms)
			d.result(model.OutcomeOK, 4, 6, s[:3]...)
			d.result(model.OutcomeOK, 3, 5, s[3])
		}, 0, 6, 3, 0},
		{"unpinned tie after half of the time", func(d *driver) {
			s := d.search(1)
			d.advance(51 * ms)
			d.result(model.OutcomeOK, 4, 6, s[:2]...)
			d.result(model.OutcomeOK, 3, 5, s[2:]...)
		}, 0, 6, 2, 0},
		{"unpinned replies differ and one is late", func(d *driver) {
			s := d.search(1)
			d.result(model.OutcomeOK, 4, 6, s[:2]...)
			d.result(model.OutcomeOK, 3, 5, s[2])
			d.advance(40 * ms)
		}, 5, 0, 0, 1},
		{"no common snapshot", func(d *driver) {
			s := d.search(1)
			d.result(model.OutcomeOK, 6, 6, s[:3]...)
			d.result(model.OutcomeOK, 3, 5, s[3])
		}, 0, 6, 3, 0},
		{"pinned snapshot gone everywhere", func(d *driver) {
			seen(d, 1, 3)
			d.result(model.OutcomeSnapshotGone, 5, 7, d.search(1)...)
		}, 7, 0, 0, 0},
		{"pinned snapshot gone on one shard", func(d *driver) {
			seen(d, 1, 3)
			s := d.search(1)
			d.result(model.OutcomeOK, 2, 4, s[:3]...)
			d.result(model.OutcomeSnapshotGone, 4, 7, s[3])
		}, 4, 0, 0, 0},
		{"reply from another snapshot than the pinned one", func(d *driver) {
			seen(d, 1, 3)
			s := d.search(1)
			d.result(model.OutcomeOK, 2, 3, s[:3]...)
			r := replyTo(s[3], model.OutcomeOK, 2, 3)
			r.Snapshot = 2
			d.reply(s[3].to, r)
		}, 0, 3, 3, 0},
		{"reply from a newer snapshot that all shards serve", func(d *driver) {
			seen(d, 1, 3)
			s := d.search(1)
			d.result(model.OutcomeOK, 2, 4, s[:3]...)
			r := replyTo(s[3], model.OutcomeOK, 4, 5)
			r.Snapshot = 5
			d.reply(s[3].to, r)
		}, 4, 0, 0, 0},
		{"snapshot of the caller gone", func(d *driver) {
			d.request(model.Request{Query: 1, Snapshot: 3})
			s := d.takeByShard()
			d.result(model.OutcomeOK, 2, 4, s[:3]...)
			d.result(model.OutcomeSnapshotGone, 4, 7, s[3])
		}, 0, 3, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(4, 1))
			test.play(d)
			is.Equal(len(d.cancels), test.cancels)
			again := d.takeByShard()
			if test.pin == 0 {
				is.Equal(len(again), 0)
				is.Equal(d.answer().Coverage.Answered, test.covered)
				is.Equal(d.answer().Snapshot, test.chosen)
				is.Equal(d.answer().Coverage.Missing[0].Reason, model.MissingSnapshotGone)
				return
			}
			is.Equal(len(again), 4)
			is.Equal(again[0].Snapshot, test.pin)
			d.result(model.OutcomeOK, test.pin, test.pin, again[:2]...)
			d.result(model.OutcomeSnapshotGone, 20, 20, again[2:]...)
			is.Equal(len(d.take()), 0)
			is.Equal(d.answer().Coverage.Answered, 2)
			is.Equal(d.counts[query.CountRestarts], int64(1))
		})
	}
}

// TestSnapshotNothingServes guards the refusal of a snapshot that no shard has.
func TestSnapshotNothingServes(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(2, 1))
	d.result(model.OutcomeOK, 4, 6, d.search(1)...)
	d.replies = nil
	d.request(model.Request{Query: 2, Snapshot: 3})
	is.Equal(d.code(), model.RefusedInvalid)
	d.replies = nil
	d.request(model.Request{Query: 3, Snapshot: 9}) // may have appeared since
	d.result(model.OutcomeSnapshotGone, 4, 6, d.take()...)
	is.Equal(d.code(), model.RefusedInvalid)

	// Invalid implies not run, so it is not used once a part of the query may have run.
	for _, play := range []func(s []sentRequest){
		func(s []sentRequest) {
			d.apply(event.PeerLost{VM: s[0].to})
			d.advance(query.RetryBackoff)
			d.result(model.OutcomeSnapshotGone, 4, 6, append(d.take(), s[1])...)
		},
		func(s []sentRequest) {
			other := replyTo(s[0], model.OutcomeOK, 4, 6)
			other.Snapshot = 6
			d.reply(s[0].to, other)
			d.result(model.OutcomeSnapshotGone, 4, 6, s[1])
		},
		func(s []sentRequest) {
			d.result(model.OutcomeEpochChanged, 4, 6, s[0])
			d.apply(event.ViewPublished{View: newView(2, 2)})
			d.result(model.OutcomeSnapshotGone, 4, 6, d.take()...)
		},
	} {
		d = newDriver(1, newView(2, 1))
		d.request(model.Request{Query: 4, Snapshot: 9})
		play(d.takeByShard())
		is.Equal(d.code(), model.RefusedLowCoverage)
	}
}

// TestPartitionMap guards the plan against views with another epoch: only an owner's reply
// restarts a query.
func TestPartitionMap(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(2, 1))
	s := d.search(1)
	d.apply(event.ViewPublished{View: newView(3, 2)})
	is.Equal(len(d.sent), 0)
	d.result(model.OutcomeOK, 1, 2, s...)
	is.Equal(d.answer().Coverage.Wanted, 2)

	d = newDriver(1, newView(2, 1))
	s = d.search(1)
	d.result(model.OutcomeEpochChanged, 1, 2, s...)
	is.Equal(len(d.sent), 0)
	d.apply(event.ViewPublished{View: newView(3, 2)})
	again := d.takeByShard()
	is.Equal(len(again), 3)
	is.Equal(again[0].Epoch, uint64(2))
	d.result(model.OutcomeOK, 1, 2, again...)
	is.Equal(d.answer().Coverage.Wanted, 3)

	d = newDriver(1, newView(2, 1)) // the owner learns of the planned epoch later
	s = d.search(1)
	d.result(model.OutcomeOK, 1, 2, s[0])
	d.result(model.OutcomeEpochChanged, 1, 2, s[1])
	d.advance(query.RetryBackoff)
	d.result(model.OutcomeOK, 1, 2, d.take()...)
	is.True(d.answer().Coverage.Complete())
}

// TestOwners guards the wait for an owner and every resend of an idempotent request.
func TestOwners(t *testing.T) {
	changed := newView(2, 1)
	changed.Owners[testKey("v1", 1)] = model.Owner{VM: "vm3", Boot: 1}
	dead := newView(2, 1)
	dead.Peers["vm2"] = model.Peer{VM: "vm2", Boot: 1}
	failed := func(d *driver, s sentRequest, sent bool) {
		d.apply(event.SendFailed{To: s.to, Requests: []model.SubRequest{s.SubRequest}, Sent: sent})
	}
	tests := []struct {
		name string
		view *model.View
		play func(d *driver, s sentRequest)
		to   model.VM // "" if it is not sent again
		at   time.Duration
	}{
		{"not owner, other owner named", nil, func(d *driver, s sentRequest) {
			r := replyTo(s, model.OutcomeNotOwner, 0, 0)
			r.Owner = model.Owner{VM: "vm3", Boot: 1}
			d.reply(s.to, r)
		}, "vm3", 0},
		{"not owner, same owner in the view", nil, func(d *driver, s sentRequest) {
			d.result(model.OutcomeNotOwner, 0, 0, s)
		}, "vm2", query.RetryBackoff},
		{"not owner, view changes during the backoff", nil, func(d *driver, s sentRequest) {
			d.result(model.OutcomeNotOwner, 0, 0, s)
			d.apply(event.ViewPublished{View: changed})
		}, "vm3", 0},
		{"send failed, not sent", nil, func(d *driver, s sentRequest) { failed(d, s, false) }, "vm2", query.RetryBackoff},
		{"send failed, sent", nil, func(d *driver, s sentRequest) { failed(d, s, true) }, "vm2", query.RetryBackoff},
		{"peer lost", nil, func(d *driver, s sentRequest) {
			d.apply(event.PeerLost{VM: "vm2"})
		}, "vm2", query.RetryBackoff},
		{"peer lost and owner changed", changed, func(d *driver, s sentRequest) { d.apply(event.PeerLost{VM: "vm2"}) }, "vm3", 0},
		{"peer dead in the view", nil, func(d *driver, s sentRequest) {
			d.apply(event.ViewPublished{View: dead})
			d.apply(event.ViewPublished{View: changed})
		}, "vm3", 0},
		{"shed", nil, func(d *driver, s sentRequest) { d.result(model.OutcomeShed, 0, 0, s) }, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(2, 1))
			d.request(model.Request{Query: 1, Kind: model.KindRead, Shard: "s01"})
			s := d.take()[0]
			if test.view != nil {
				d.apply(event.ViewPublished{View: test.view})
			}
			test.play(d, s)
			if test.at > 0 {
				d.advance(test.at - 1)
				is.Equal(len(d.sent), 0)
				d.advance(test.at)
			}
			again := d.take()
			if test.to == "" {
				is.Equal(len(again), 0)
				return
			}
			is.Equal(len(again), 1)
			is.Equal(again[0].to, test.to)
			is.Equal(again[0].Owner.VM, test.to)
			d.result(model.OutcomeOK, 1, 2, again...)
			is.True(d.answer().Coverage.Complete())
		})
	}
	t.Run("no owner until the view names one", func(t *testing.T) {
		is := is.New(t)
		d := newDriver(1, dead)
		is.Equal(len(d.search(1)), 1)
		d.apply(event.ViewPublished{View: newView(2, 1)})
		is.Equal(len(d.take()), 1)
		d = newDriver(1, dead)
		d.result(model.OutcomeOK, 1, 2, d.search(1)...)
		d.advance(98 * ms)
		is.Equal(d.answer().Coverage.Missing[0].Reason, model.MissingNoOwner)
	})
}

// TestResendBounds guards against retry storms: resends of one shard end, and the loss of a
// peer under many queries costs no more retries than the budget of the worker.
func TestResendBounds(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(1, 1))
	d.request(model.Request{Query: 1, Budget: time.Minute})
	resends := 0
	for s := d.take(); len(s) > 0; s = d.take() {
		d.result(model.OutcomeNotOwner, 0, 0, s...)
		d.advance(time.Duration(d.now) + time.Second)
		resends++
	}
	is.Equal(resends, 9)
	is.Equal(d.only().Refusal.Coverage.Missing[0].Reason, model.MissingNoOwner)

	d = newDriver(1, newView(1, 1)) // two VMs name each other as owner
	d.request(model.Request{Query: 1})
	for s := d.take(); len(s) > 0; s = d.take() {
		r := replyTo(s[0], model.OutcomeNotOwner, 0, 0)
		r.Owner = model.Owner{VM: map[model.VM]model.VM{"vm1": "vm2", "vm2": "vm1"}[s[0].to], Boot: 1}
		d.reply(s[0].to, r)
	}
	is.Equal(d.counts[query.CountRetries], int64(3)) // the third one waits

	d = newDriver(1, newView(30, 1))
	for id := range model.QueryID(200) {
		d.search(id)
	}
	d.apply(event.PeerLost{VM: "vm2"})
	is.Equal(d.counts[query.CountRetries], int64(query.RetryBurst))
	is.Equal(d.counts[query.CountRetriesDenied], int64(200*10-query.RetryBurst))
}

// TestCallerGone guards the withdrawal of idempotent work, and that a submit goes on.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(3, 1))
	d.result(model.OutcomeOK, 1, 2, d.search(1)[0])
	d.apply(event.CallerGone{Query: 1})
	is.Equal(len(d.cancels), 2)
	is.Equal(len(d.replies), 1)
	d.request(model.Request{Query: 2, Kind: model.KindSubmit, Shard: "s01"})
	d.apply(event.CallerGone{Query: 2})
	is.Equal(d.table.Running(), 1)
	d.result(model.OutcomeOK, 1, 2, d.take()...)
	is.Equal(len(d.cancels), 2)
	is.Equal(d.table.Running(), 0)
}

// TestSubmit guards at-most-once: what each end of a submit is reported as, and that it is
// sent again only to another owner on proof.
func TestSubmit(t *testing.T) {
	changed := newView(2, 1)
	changed.Owners[testKey("v1", 1)] = model.Owner{VM: "vm3", Boot: 1}
	outcome := func(o model.OutcomeCode) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) { d.result(o, 1, 2, s) }
	}
	failed := func(sent bool) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) {
			d.apply(event.SendFailed{To: s.to, Requests: []model.SubRequest{s.SubRequest}, Sent: sent})
		}
	}
	moved := func(play func(*driver, sentRequest)) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) {
			play(d, s)
			d.apply(event.ViewPublished{View: changed})
		}
	}
	tests := []struct {
		name string
		play func(d *driver, s sentRequest)
		code model.RefusalCode
		sent int // times sent again
	}{
		{"ok", outcome(model.OutcomeOK), "", 0},
		{"shed", outcome(model.OutcomeShed), model.RefusedNotRun, 0},
		{"expired", outcome(model.OutcomeExpired), model.RefusedNotRun, 0},
		{"no server", outcome(model.OutcomeNoServer), model.RefusedNotRun, 0},
		{"epoch changed", outcome(model.OutcomeEpochChanged), model.RefusedNotRun, 0},
		{"duplicate", outcome(model.OutcomeDuplicate), model.RefusedDuplicate, 0},
		{"failed", outcome(model.OutcomeFailed), model.RefusedOutcomeUnknown, 0},
		{"timeout", outcome(model.OutcomeTimeout), model.RefusedOutcomeUnknown, 0},
		{"lost", outcome(model.OutcomeLost), model.RefusedOutcomeUnknown, 0},
		{"cancelled", outcome(model.OutcomeCancelled), model.RefusedOutcomeUnknown, 0},
		{"no such outcome", outcome(77), model.RefusedOutcomeUnknown, 0},
		{"no reply", func(d *driver, s sentRequest) {}, model.RefusedOutcomeUnknown, 0},
		{"no reply, owner changed", moved(func(*driver, sentRequest) {}), model.RefusedOutcomeUnknown, 0},
		{"peer lost", moved(func(d *driver, s sentRequest) {
			d.apply(event.PeerLost{VM: s.to})
		}), model.RefusedOutcomeUnknown, 0},
		{"send failed, sent", moved(failed(true)), model.RefusedOutcomeUnknown, 0},
		{"send failed, not sent", failed(false), model.RefusedNotRun, 0},
		{"send failed, not sent, owner changed", moved(failed(false)), model.RefusedOutcomeUnknown, 1},
		{"not owner", outcome(model.OutcomeNotOwner), model.RefusedNotRun, 0},
		{"not owner, owner changed", moved(outcome(model.OutcomeNotOwner)), model.RefusedOutcomeUnknown, 1},
		{"late proof of the first sending", func(d *driver, s sentRequest) {
			moved(outcome(model.OutcomeNotOwner))(d, s)
			r := replyTo(s, model.OutcomeShed, 0, 0)
			d.reply(s.to, r)
			d.reply("vm3", r)
		}, model.RefusedOutcomeUnknown, 1},
		{"late failure of the first sending", func(d *driver, s sentRequest) {
			moved(outcome(model.OutcomeNotOwner))(d, s)
			failed(false)(d, s)
			s.to = "vm3"
			failed(false)(d, s)
		}, model.RefusedOutcomeUnknown, 1},
		{"not owner after half of the time", func(d *driver, s sentRequest) {
			d.advance(50 * ms)
			moved(outcome(model.OutcomeNotOwner))(d, s)
		}, model.RefusedNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(2, 1))
			d.request(model.Request{Query: 1, Kind: model.KindSubmit, Shard: "s01", Key: "k", Repeat: true})
			s := d.take()
			is.Equal(s[0].Dedupe, "k")
			is.True(s[0].Repeat)
			test.play(d, s[0])
			d.advance(100 * ms)
			is.Equal(d.code(), test.code)
			is.Equal(len(d.take()), test.sent)
			is.Equal(len(d.replies), 1)
		})
	}
	t.Run("without an owner", func(t *testing.T) {
		is := is.New(t)
		view := newView(2, 1)
		view.Owners = nil
		d := newDriver(1, view)
		d.request(model.Request{Query: 1, Kind: model.KindSubmit, Shard: "s01"})
		d.request(model.Request{Query: 2, Kind: model.KindSubmit, Shard: "s00"})
		d.apply(event.CallerGone{Query: 2})
		is.Equal(d.only().Query, model.QueryID(2))
		is.Equal(d.code(), model.RefusedNotRun)
		d.advance(49 * ms)
		is.Equal(d.replies[1].Refusal.Code, model.RefusedNotRun)
		is.Equal(len(d.sent), 0)
	})
}
