package trace

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// sessionEvents returns the events of a short run of a control state.
func sessionEvents() []event.Event {
	wall := time.Date(2026, 12, 4, 7, 0, 0, 0, time.FixedZone("", 3600))
	zone := model.Object{Key: model.ObjectKey{Kind: model.ObjectZone, Name: "b"}, Version: 3, Zone: &model.ZoneState{Zone: "b", Out: true, Reason: "<ø & \u2028>"}}
	return []event.Event{
		event.Tick{Wall: wall},
		event.VMsListed{VMs: []event.ListedVM{{VM: "a", Zone: "z", Address: "127.0.0.1:1"}}},
		event.ObjectsReceived{FromStore: true, Revision: 3, Objects: []model.Object{zone}},
		event.OperatorCommand{Command: 1, By: "operator", Body: event.SetZone{Zone: "c", Out: true, Reason: "<fire>"}},
		event.Tick{Wall: wall.Add(time.Second)},
		event.WriteDone{Write: 2, Outcome: event.WriteUnknown, Reason: "lost"},
		event.OperatorCommand{Command: 2, By: "operator", Body: event.SetPause{Paused: true}},
		event.Tick{Wall: wall.Add(2 * time.Second)},
		event.Tick{Wall: wall.Add(time.Minute)},
		event.LeaveRequested{},
	}
}

// recordSession runs the session and returns its trace.
func recordSession(t *testing.T) string {
	t.Helper()
	cfg := core.Config{Self: "a", Boot: 7, Group: "g", Zone: "z", Address: "127.0.0.1:1", Seed: 5}
	state := core.NewControl(cfg, 0)
	var out bytes.Buffer
	r := NewRecorder(&out, Header{Name: "session", Role: RoleControl, Config: cfg})
	now := model.Time(0)
	for _, ev := range sessionEvents() {
		now = now.Add(700 * time.Millisecond)
		r.Record(now, ev, core.Reduce(state, ev, now))
	}
	if r.Err() != nil {
		t.Fatal(r.Err())
	}
	return out.String()
}

// TestReplay guards against a recorded run that fails to replay or replays with other effects.
func TestReplay(t *testing.T) {
	is := is.New(t)
	text := recordSession(t)
	res, err := Replay(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(res.Header.Name, "session")
	is.Equal(res.Steps, len(sessionEvents()))
	is.True(res.Effects > 5)
	is.Equal(recordSession(t), text) // deterministic
}

// TestMismatch guards against a difference that a replay misses or reports at the wrong line.
func TestMismatch(t *testing.T) {
	const zoneLine = 5 // the header is line 1, the fourth event line 5
	for _, tc := range []struct {
		name, old, new string
		line           int
	}{
		{"changed event", `"Reason":"<fire>"`, `"Reason":"<flood>"`, zoneLine},
		{"changed effect", `"Type":"WriteObject"`, `"Type":"ReadObject"`, zoneLine},
		{"other event", `"Type":"LeaveRequested"`, `"Type":"Wake"`, 11},
		{"unknown event", `"Type":"VMsListed"`, `"Type":"Unknown"`, 3},
		{"missing effects", `"Effects":[{`, `"Effects":[],"x":[{`, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			text := recordSession(t)
			is.True(strings.Contains(text, tc.old))
			if tc.line == 0 {
				tc.line = strings.Count(text[:strings.Index(text, tc.old)], "\n") + 1
			}
			lines := strings.Split(text, "\n")
			lines[tc.line-1] = strings.Replace(lines[tc.line-1], tc.old, tc.new, 1)
			_, err := Replay(strings.NewReader(strings.Join(lines, "\n")))
			var mismatch *MismatchError
			is.True(errors.As(err, &mismatch))
			t.Log(err)
			is.Equal(mismatch.Line, tc.line)
			is.Equal(mismatch.Trace, "session")
		})
	}
}

// TestBrokenTrace guards against a malformed trace that passes or makes Replay panic.
func TestBrokenTrace(t *testing.T) {
	text := recordSession(t)
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "", "no header"},
		{"no JSON", "x\n", "header"},
		{"other format", strings.Replace(text, `"Trace":1`, `"Trace":2`, 1), "format 2"},
		{"unknown role", strings.Replace(text, `"Role":"control"`, `"Role":"x"`, 1), "unknown role"},
		{"cut off", text[:len(text)-20], "line 11"},
		{"not a step", strings.Replace(text, "\n", "\n[]\n", 1), "line 2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Replay(strings.NewReader(tc.text))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}
