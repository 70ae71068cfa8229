package query_test

import (
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/query"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/matryer/is"
)

// TestRefusedBeforePlan guards against requests that are refused with the wrong code, or that are
// sent although they must be refused.
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
			is.Equal(d.refusalCode(), test.code)
			is.True(d.onlyReply().Refusal.Step != "" && d.onlyReply().Refusal.Reason != "")
			is.Equal(d.onlyReply().Refusal.RetryAfter > 0, test.retry)
			is.Equal(len(d.sent), 0)
			is.Equal(d.table.Running(), 0)
		})
	}
}

// TestPlan checks how a search is sent: in one message per owner, to one version only, and to the
// new version of a move in the proportion of the move's share.
func TestPlan(t *testing.T) {
	is := is.New(t)
	view := newView(7, 4)
	d := newDriver(1, view)
	sent := d.search(1)
	is.Equal(len(sent), 7)
	is.Equal(d.messages, 3)
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

// TestCompleteAnswer checks the merged hits of a complete answer, and that the next query pins a
// snapshot from the ranges in the replies.
func TestCompleteAnswer(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(3, 1))
	d.request(model.Request{Query: 1, Limit: 3})
	sent := d.takeSentByShard()
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

// TestDroppedReplies guards against replies that are applied to a query, run or shard they do not
// belong to.
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
	d.replyAll(model.OutcomeOK, 1, 2, s[1])
	is.True(d.answer().Coverage.Complete())
}

// TestDeadline checks that a query with outstanding replies is answered before the caller's
// deadline with the coverage reached, or refused if that is below the coverage floor, and that
// the outstanding sub-requests are cancelled.
func TestDeadline(t *testing.T) {
	tests := []struct {
		name        string
		minCoverage float64
		answered    int
		refused     model.RefusalCode
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
			d.request(model.Request{Query: 1, MinCoverage: test.minCoverage})
			s := d.takeSentByShard()
			d.replyAll(model.OutcomeOK, 1, 2, s[:test.answered]...)
			d.advance(100*ms - query.AnswerReserve - 1)
			is.Equal(len(d.replies), 0)
			d.advance(100*ms - query.AnswerReserve)
			is.Equal(d.refusalCode(), test.refused)
			is.Equal(len(d.cancels), 4-test.answered)
			coverage := d.answer().Coverage
			if test.refused != "" {
				coverage = *d.onlyReply().Refusal.Coverage
			}
			is.Equal(coverage.Answered, test.answered)
			is.Equal(coverage.Missing[0], model.MissingShard{
				Shard: s[test.answered].Key.Shard, Reason: model.MissingTimeout, Peer: string(s[test.answered].to)})
			d.replyAll(model.OutcomeOK, 1, 2, s[3])
			is.Equal(d.counts[query.CountLateReplies], int64(1))
		})
	}
}

// TestMissingReasons checks the reason given for a missing shard for each outcome of an owner's
// reply.
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
		d.replyAll(model.OutcomeOK, 2, 2, s[0])
		r := replyTo(s[1], outcome, 1, 1)
		r.Server = "server-7"
		d.reply(s[1].to, r)
		is.Equal(d.answer().Coverage.Missing, []model.MissingShard{{Shard: s[1].Key.Shard, Reason: reason, Peer: "server-7"}})
		is.Equal(d.answer().Needed, 2)
	}
}

// TestRestart checks in which cases a query is restarted and on which snapshot, and that it is
// never restarted twice.
func TestRestart(t *testing.T) {
	setRanges := func(d *driver, oldest, newest model.Snapshot) {
		d.replyAll(model.OutcomeOK, oldest, newest, d.search(9)...)
		d.replies = nil
	}
	tests := []struct {
		name     string
		steps    func(d *driver)
		pin      model.Snapshot // of the second run, 0 for none
		chosen   model.Snapshot // of the answer if there is no second run
		answered int
		cancels  int // sub-requests cancelled
	}{
		{"unpinned replies differ", func(d *driver) {
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 4, 6, s[:3]...)
			d.replyAll(model.OutcomeOK, 3, 5, s[3])
		}, 5, 0, 0, 0},
		{"unpinned replies differ after half of the time", func(d *driver) {
			s := d.search(1)
			d.advance(51 * ms)
			d.replyAll(model.OutcomeOK, 4, 6, s[:3]...)
			d.replyAll(model.OutcomeOK, 3, 5, s[3])
		}, 0, 6, 3, 0},
		{"unpinned tie after half of the time", func(d *driver) {
			s := d.search(1)
			d.advance(51 * ms)
			d.replyAll(model.OutcomeOK, 4, 6, s[:2]...)
			d.replyAll(model.OutcomeOK, 3, 5, s[2:]...)
		}, 0, 6, 2, 0},
		{"unpinned replies differ and one is late", func(d *driver) {
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 4, 6, s[:2]...)
			d.replyAll(model.OutcomeOK, 3, 5, s[2])
			d.advance(40 * ms)
		}, 5, 0, 0, 1},
		{"no common snapshot", func(d *driver) {
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 6, 6, s[:3]...)
			d.replyAll(model.OutcomeOK, 3, 5, s[3])
		}, 0, 6, 3, 0},
		{"pinned snapshot gone everywhere", func(d *driver) {
			setRanges(d, 1, 3)
			d.replyAll(model.OutcomeSnapshotGone, 5, 7, d.search(1)...)
		}, 7, 0, 0, 0},
		{"pinned snapshot gone on one shard", func(d *driver) {
			setRanges(d, 1, 3)
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 2, 4, s[:3]...)
			d.replyAll(model.OutcomeSnapshotGone, 4, 7, s[3])
		}, 4, 0, 0, 0},
		{"reply from another snapshot than the pinned one", func(d *driver) {
			setRanges(d, 1, 3)
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 2, 3, s[:3]...)
			r := replyTo(s[3], model.OutcomeOK, 2, 3)
			r.Snapshot = 2
			d.reply(s[3].to, r)
		}, 0, 3, 3, 0},
		{"reply from a newer snapshot that all shards serve", func(d *driver) {
			setRanges(d, 1, 3)
			s := d.search(1)
			d.replyAll(model.OutcomeOK, 2, 4, s[:3]...)
			r := replyTo(s[3], model.OutcomeOK, 4, 5)
			r.Snapshot = 5
			d.reply(s[3].to, r)
		}, 4, 0, 0, 0},
		{"requested snapshot gone", func(d *driver) {
			d.request(model.Request{Query: 1, Snapshot: 3})
			s := d.takeSentByShard()
			d.replyAll(model.OutcomeOK, 2, 4, s[:3]...)
			d.replyAll(model.OutcomeSnapshotGone, 4, 7, s[3])
		}, 0, 3, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(4, 1))
			test.steps(d)
			is.Equal(len(d.cancels), test.cancels)
			resent := d.takeSentByShard()
			if test.pin == 0 {
				is.Equal(len(resent), 0)
				is.Equal(d.answer().Coverage.Answered, test.answered)
				is.Equal(d.answer().Snapshot, test.chosen)
				is.Equal(d.answer().Coverage.Missing[0].Reason, model.MissingSnapshotGone)
				return
			}
			is.Equal(len(resent), 4)
			is.Equal(resent[0].Snapshot, test.pin)
			d.replyAll(model.OutcomeOK, test.pin, test.pin, resent[:2]...)
			d.replyAll(model.OutcomeSnapshotGone, 20, 20, resent[2:]...)
			is.Equal(len(d.takeSent()), 0)
			is.Equal(d.answer().Coverage.Answered, 2)
			is.Equal(d.counts[query.CountRestarts], int64(1))
		})
	}
}

// TestSnapshotServedByNoShard checks the refusal of a request for a snapshot that no shard serves.
func TestSnapshotServedByNoShard(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(2, 1))
	d.replyAll(model.OutcomeOK, 4, 6, d.search(1)...)
	d.replies = nil
	d.request(model.Request{Query: 2, Snapshot: 3})
	is.Equal(d.refusalCode(), model.RefusedInvalid)
	d.replies = nil
	d.request(model.Request{Query: 3, Snapshot: 9}) // may have appeared since the last reply
	d.replyAll(model.OutcomeSnapshotGone, 4, 6, d.takeSent()...)
	is.Equal(d.refusalCode(), model.RefusedInvalid)

	// RefusedInvalid implies that nothing was run, so it must not be used once a sub-request may
	// have run.
	for _, steps := range []func(s []sentRequest){
		func(s []sentRequest) {
			d.apply(event.PeerLost{VM: s[0].to})
			d.advance(query.RetryBackoff)
			d.replyAll(model.OutcomeSnapshotGone, 4, 6, append(d.takeSent(), s[1])...)
		},
		func(s []sentRequest) {
			other := replyTo(s[0], model.OutcomeOK, 4, 6)
			other.Snapshot = 6
			d.reply(s[0].to, other)
			d.replyAll(model.OutcomeSnapshotGone, 4, 6, s[1])
		},
		func(s []sentRequest) {
			d.replyAll(model.OutcomeEpochChanged, 4, 6, s[0])
			d.apply(event.ViewPublished{View: newView(2, 2)})
			d.replyAll(model.OutcomeSnapshotGone, 4, 6, d.takeSent()...)
		},
	} {
		d = newDriver(1, newView(2, 1))
		d.request(model.Request{Query: 4, Snapshot: 9})
		steps(d.takeSentByShard())
		is.Equal(d.refusalCode(), model.RefusedLowCoverage)
	}
}

// TestPartitionMap checks that a new view with another epoch does not by itself restart a query,
// and that an owner's reply about the epoch leads to a restart or to a resend.
func TestPartitionMap(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(2, 1))
	s := d.search(1)
	d.apply(event.ViewPublished{View: newView(3, 2)})
	is.Equal(len(d.sent), 0)
	d.replyAll(model.OutcomeOK, 1, 2, s...)
	is.Equal(d.answer().Coverage.Wanted, 2)

	d = newDriver(1, newView(2, 1))
	s = d.search(1)
	d.replyAll(model.OutcomeEpochChanged, 1, 2, s...)
	is.Equal(len(d.sent), 0)
	d.apply(event.ViewPublished{View: newView(3, 2)})
	resent := d.takeSentByShard()
	is.Equal(len(resent), 3)
	is.Equal(resent[0].Epoch, uint64(2))
	d.replyAll(model.OutcomeOK, 1, 2, resent...)
	is.Equal(d.answer().Coverage.Wanted, 3)

	d = newDriver(1, newView(2, 1)) // the owner receives the query's epoch later
	s = d.search(1)
	d.replyAll(model.OutcomeOK, 1, 2, s[0])
	d.replyAll(model.OutcomeEpochChanged, 1, 2, s[1])
	d.advance(query.RetryBackoff)
	d.replyAll(model.OutcomeOK, 1, 2, d.takeSent()...)
	is.True(d.answer().Coverage.Complete())
}

// TestOwners checks to which VM, and when, an idempotent request is sent again after each kind of
// failure, and that a shard without an owner waits for one.
func TestOwners(t *testing.T) {
	changed := newView(2, 1)
	changed.Owners[testKey("v1", 1)] = model.Owner{VM: "vm3", Boot: 1}
	notAlive := newView(2, 1)
	notAlive.Peers["vm2"] = model.Peer{VM: "vm2", Boot: 1}
	failed := func(d *driver, s sentRequest, sent bool) {
		d.apply(event.SendFailed{To: s.to, Requests: []model.SubRequest{s.SubRequest}, Sent: sent})
	}
	tests := []struct {
		name  string
		view  *model.View
		steps func(d *driver, s sentRequest)
		to    model.VM // empty if it is not sent again
		at    time.Duration
	}{
		{"not owner, other owner named", nil, func(d *driver, s sentRequest) {
			r := replyTo(s, model.OutcomeNotOwner, 0, 0)
			r.Owner = model.Owner{VM: "vm3", Boot: 1}
			d.reply(s.to, r)
		}, "vm3", 0},
		{"not owner, same owner in the view", nil, func(d *driver, s sentRequest) {
			d.replyAll(model.OutcomeNotOwner, 0, 0, s)
		}, "vm2", query.RetryBackoff},
		{"not owner, view changes during the backoff", nil, func(d *driver, s sentRequest) {
			d.replyAll(model.OutcomeNotOwner, 0, 0, s)
			d.apply(event.ViewPublished{View: changed})
		}, "vm3", 0},
		{"send failed, not sent", nil, func(d *driver, s sentRequest) { failed(d, s, false) }, "vm2", query.RetryBackoff},
		{"send failed, sent", nil, func(d *driver, s sentRequest) { failed(d, s, true) }, "vm2", query.RetryBackoff},
		{"peer lost", nil, func(d *driver, s sentRequest) {
			d.apply(event.PeerLost{VM: "vm2"})
		}, "vm2", query.RetryBackoff},
		{"peer lost and owner changed", changed, func(d *driver, s sentRequest) { d.apply(event.PeerLost{VM: "vm2"}) }, "vm3", 0},
		{"peer not alive in the view", nil, func(d *driver, s sentRequest) {
			d.apply(event.ViewPublished{View: notAlive})
			d.apply(event.ViewPublished{View: changed})
		}, "vm3", 0},
		{"shed", nil, func(d *driver, s sentRequest) { d.replyAll(model.OutcomeShed, 0, 0, s) }, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(2, 1))
			d.request(model.Request{Query: 1, Kind: model.KindRead, Shard: "s01"})
			s := d.takeSent()[0]
			if test.view != nil {
				d.apply(event.ViewPublished{View: test.view})
			}
			test.steps(d, s)
			if test.at > 0 {
				d.advance(test.at - 1)
				is.Equal(len(d.sent), 0)
				d.advance(test.at)
			}
			resent := d.takeSent()
			if test.to == "" {
				is.Equal(len(resent), 0)
				return
			}
			is.Equal(len(resent), 1)
			is.Equal(resent[0].to, test.to)
			is.Equal(resent[0].Owner.VM, test.to)
			d.replyAll(model.OutcomeOK, 1, 2, resent...)
			is.True(d.answer().Coverage.Complete())
		})
	}
	t.Run("no owner until the view names one", func(t *testing.T) {
		is := is.New(t)
		d := newDriver(1, notAlive)
		is.Equal(len(d.search(1)), 1)
		d.apply(event.ViewPublished{View: newView(2, 1)})
		is.Equal(len(d.takeSent()), 1)
		d = newDriver(1, notAlive)
		d.replyAll(model.OutcomeOK, 1, 2, d.search(1)...)
		d.advance(98 * ms)
		is.Equal(d.answer().Coverage.Missing[0].Reason, model.MissingNoOwner)
	})
}

// TestResendBounds guards against retry storms. The resends for one shard are limited, and the loss
// of a peer during many queries causes no more retries than the worker's retry budget allows.
func TestResendBounds(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(1, 1))
	d.request(model.Request{Query: 1, Budget: time.Minute})
	resends := 0
	for s := d.takeSent(); len(s) > 0; s = d.takeSent() {
		d.replyAll(model.OutcomeNotOwner, 0, 0, s...)
		d.advance(time.Duration(d.now) + time.Second)
		resends++
	}
	is.Equal(resends, 9)
	is.Equal(d.onlyReply().Refusal.Coverage.Missing[0].Reason, model.MissingNoOwner)

	d = newDriver(1, newView(1, 1)) // two VMs each name the other as owner
	d.request(model.Request{Query: 1})
	for s := d.takeSent(); len(s) > 0; s = d.takeSent() {
		r := replyTo(s[0], model.OutcomeNotOwner, 0, 0)
		r.Owner = model.Owner{VM: map[model.VM]model.VM{"vm1": "vm2", "vm2": "vm1"}[s[0].to], Boot: 1}
		d.reply(s[0].to, r)
	}
	is.Equal(d.counts[query.CountRetries], int64(3)) // the third one is in its backoff

	d = newDriver(1, newView(30, 1))
	for id := range model.QueryID(200) {
		d.search(id)
	}
	d.apply(event.PeerLost{VM: "vm2"})
	is.Equal(d.counts[query.CountRetries], int64(query.RetryBurst))
	is.Equal(d.counts[query.CountRetriesDenied], int64(200*10-query.RetryBurst))
}

// TestCallerGone checks that a caller's disconnection cancels an idempotent query, but not a submit
// that has been sent.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	d := newDriver(1, newView(3, 1))
	d.replyAll(model.OutcomeOK, 1, 2, d.search(1)[0])
	d.apply(event.CallerGone{Query: 1})
	is.Equal(len(d.cancels), 2)
	is.Equal(len(d.replies), 1)
	d.request(model.Request{Query: 2, Kind: model.KindSubmit, Shard: "s01"})
	d.apply(event.CallerGone{Query: 2})
	is.Equal(d.table.Running(), 1)
	d.replyAll(model.OutcomeOK, 1, 2, d.takeSent()...)
	is.Equal(len(d.cancels), 2)
	is.Equal(d.table.Running(), 0)
}

// TestSubmit guards against a submit that runs more than once or is reported with the wrong result.
// It must be sent again only to another owner, and only on proof that it was not run.
func TestSubmit(t *testing.T) {
	changed := newView(2, 1)
	changed.Owners[testKey("v1", 1)] = model.Owner{VM: "vm3", Boot: 1}
	outcome := func(o model.OutcomeCode) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) { d.replyAll(o, 1, 2, s) }
	}
	failed := func(sent bool) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) {
			d.apply(event.SendFailed{To: s.to, Requests: []model.SubRequest{s.SubRequest}, Sent: sent})
		}
	}
	withOwnerChange := func(steps func(*driver, sentRequest)) func(*driver, sentRequest) {
		return func(d *driver, s sentRequest) {
			steps(d, s)
			d.apply(event.ViewPublished{View: changed})
		}
	}
	tests := []struct {
		name    string
		steps   func(d *driver, s sentRequest)
		code    model.RefusalCode
		resends int
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
		{"no reply, owner changed", withOwnerChange(func(*driver, sentRequest) {}), model.RefusedOutcomeUnknown, 0},
		{"peer lost", withOwnerChange(func(d *driver, s sentRequest) {
			d.apply(event.PeerLost{VM: s.to})
		}), model.RefusedOutcomeUnknown, 0},
		{"send failed, sent", withOwnerChange(failed(true)), model.RefusedOutcomeUnknown, 0},
		{"send failed, not sent", failed(false), model.RefusedNotRun, 0},
		{"send failed, not sent, owner changed", withOwnerChange(failed(false)), model.RefusedOutcomeUnknown, 1},
		{"not owner", outcome(model.OutcomeNotOwner), model.RefusedNotRun, 0},
		{"not owner, owner changed", withOwnerChange(outcome(model.OutcomeNotOwner)), model.RefusedOutcomeUnknown, 1},
		{"late reply to the first sending", func(d *driver, s sentRequest) {
			withOwnerChange(outcome(model.OutcomeNotOwner))(d, s)
			r := replyTo(s, model.OutcomeShed, 0, 0)
			d.reply(s.to, r)
			d.reply("vm3", r)
		}, model.RefusedOutcomeUnknown, 1},
		{"late failure of the first sending", func(d *driver, s sentRequest) {
			withOwnerChange(outcome(model.OutcomeNotOwner))(d, s)
			failed(false)(d, s)
			s.to = "vm3"
			failed(false)(d, s)
		}, model.RefusedOutcomeUnknown, 1},
		{"not owner after half of the time", func(d *driver, s sentRequest) {
			d.advance(50 * ms)
			withOwnerChange(outcome(model.OutcomeNotOwner))(d, s)
		}, model.RefusedNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(1, newView(2, 1))
			d.request(model.Request{Query: 1, Kind: model.KindSubmit, Shard: "s01", Key: "k", Repeat: true})
			s := d.takeSent()
			is.Equal(s[0].Dedupe, "k")
			is.True(s[0].Repeat)
			test.steps(d, s[0])
			d.advance(100 * ms)
			is.Equal(d.refusalCode(), test.code)
			is.Equal(len(d.takeSent()), test.resends)
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
		is.Equal(d.onlyReply().Query, model.QueryID(2))
		is.Equal(d.refusalCode(), model.RefusedNotRun)
		d.advance(49 * ms)
		is.Equal(d.replies[1].Refusal.Code, model.RefusedNotRun)
		is.Equal(len(d.sent), 0)
	})
}
