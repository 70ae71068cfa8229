package core

import (
	"math/rand/v2"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/core/query"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Traffic is the state of one traffic worker: the queries that it runs for the entry
// daemon and the shard keys that it serves as owner.
type Traffic struct {
	queries *query.Table
	owner   *admission.Owner
	pairer  *moves.Pairer
	wakeAt  model.Time // time of the last effect.WakeAt
}

func newTraffic(rng *rand.Rand) *Traffic {
	pairer := moves.NewPairer()
	return &Traffic{
		queries: query.New(rng, pairer),
		owner:   admission.New(),
		pairer:  pairer,
		wakeAt:  model.Never,
	}
}

// reduce applies one event, appends its effects to out and updates the wake-up time.
func (t *Traffic) reduce(ev event.Event, now model.Time, out *effect.List) {
	t.handle(ev, now, out)
	next := min(t.queries.NextWake(), t.owner.NextWake())
	if next != t.wakeAt {
		t.wakeAt = next
		out.Add(effect.WakeAt{At: next})
	}
}

func (t *Traffic) handle(ev event.Event, now model.Time, out *effect.List) {
	switch e := ev.(type) {
	case event.ViewPublished:
		t.owner.View(e.View, now, out)
		t.queries.View(e.View, now, out)
		t.pairer.Flush(now, out)
	case event.RequestReceived:
		t.queries.Request(e, now, out)
	case event.CallerGone:
		t.queries.CallerGone(e, now, out)
	case event.SubRequestsReceived:
		t.owner.Requests(e, now, out)
	case event.SubRepliesReceived:
		t.queries.Replies(e, now, out)
	case event.CancelsReceived:
		t.owner.Cancels(e, now, out)
	case event.SendFailed:
		t.queries.SendFailed(e, now, out)
	case event.PeerLost:
		if e.Connection != event.ConnectionIn {
			t.queries.PeerLost(e, now, out)
		}
		if e.Connection != event.ConnectionOut {
			t.owner.PeerLost(e, now, out)
		}
	case event.AttemptDone:
		t.owner.AttemptDone(e, now, out)
	case event.DrainKey:
		t.owner.Drain(e, now, out)
	case event.Wake:
		t.wakeAt = model.Never
		t.owner.Wake(now, out)
		t.queries.Wake(now, out)
	}
}
