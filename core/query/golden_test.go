package query_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/golden"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestGoldenSessions compares the effects of whole sessions with recorded ones, to detect
// unintended changes.
func TestGoldenSessions(t *testing.T) {
	sessions := map[string]func(d *driver){
		"straggler": func(d *driver) {
			s := d.search(1)
			d.advance(8 * ms)
			d.reply("vm1", replyTo(s[0], model.OutcomeOK, 3, 7), replyTo(s[3], model.OutcomeOK, 3, 7))
			d.advance(9 * ms)
			d.replyAll(model.OutcomeOK, 3, 7, s[1])
			d.advance(120 * ms)
			d.replyAll(model.OutcomeOK, 3, 7, s[2])
		},
		"restart": func(d *driver) {
			d.replyAll(model.OutcomeOK, 3, 7, d.search(1)...)
			d.advance(200 * ms)
			s := d.search(2)
			d.advance(204 * ms)
			d.replyAll(model.OutcomeOK, 6, 9, s[0])
			d.advance(205 * ms)
			d.replyAll(model.OutcomeSnapshotGone, 8, 9, s[1])
			d.advance(206 * ms)
			d.replyAll(model.OutcomeOK, 6, 8, s[2])
			d.advance(208 * ms)
			d.replyAll(model.OutcomeOK, 6, 9, s[3])
			resent := d.takeSentByShard()
			d.advance(215 * ms)
			d.replyAll(model.OutcomeOK, 8, 9, resent...)
		},
	}
	for name, run := range sessions {
		t.Run(name, func(t *testing.T) {
			d := newDriver(1, newView(4, 1))
			var log strings.Builder
			d.onEvent = func(ev event.Event) { fmt.Fprintf(&log, "%v %s\n", time.Duration(d.now), eventLine(ev)) }
			d.onEffect = func(e effect.Effect) { fmt.Fprintf(&log, "    %s\n", effectLine(e)) }
			run(d)
			golden.Check(t, name, log.String())
		})
	}
}

func eventLine(ev event.Event) string {
	switch e := ev.(type) {
	case event.RequestReceived:
		return fmt.Sprintf("RequestReceived query %d %s on %s", e.Request.Query, e.Request.Kind, e.Request.Route)
	case event.SubRepliesReceived:
		line := "SubRepliesReceived from " + string(e.From)
		for _, r := range e.Replies {
			line += fmt.Sprintf(" [%s run %d %s snapshot %d of %d-%d]", r.Key.Shard, r.Run, r.Outcome, r.Snapshot, r.Oldest, r.Newest)
		}
		return line
	}
	return fmt.Sprintf("%T", ev)
}

func effectLine(e effect.Effect) string {
	switch e := e.(type) {
	case effect.SendSubRequests:
		line := "SendSubRequests to " + string(e.To)
		for _, r := range e.Requests {
			line += fmt.Sprintf(" [%s/%s run %d snapshot %d budget %v]", r.Key.Version, r.Key.Shard, r.Run, r.Snapshot, r.Budget)
		}
		return line
	case effect.ReplyCaller:
		return fmt.Sprintf("ReplyCaller answer %+v refusal %+v", e.Answer, e.Refusal)
	}
	return fmt.Sprintf("%T %+v", e, e)
}
