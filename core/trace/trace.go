// Package trace records the events of one reducer state together with their effects, and replays
// such traces. In a replay the same events must have the same effects, and the invariants must hold
// after each event.
//
// A trace consists of JSON lines. The first line is a Header, each further line a Step.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"reflect"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// formatVersion is the version of the trace format.
const formatVersion = 1

// maxLine is the longest line of a trace in bytes.
const maxLine = 64 << 20

// Roles of a state.
const (
	RoleControl = "control"
	RoleTraffic = "traffic"
)

// Header is the first line of a trace.
type Header struct {
	Trace   int // format version
	Name    string
	Outcome string // description of the session for human readers
	Role    string
	Start   model.Time
	Config  core.Config
}

// Step is one event with the effects that it must have in a replay.
type Step struct {
	At      model.Time
	Type    string
	Event   jsontext.Value
	Effects []Effect
}

// Effect is one encoded effect with the name of its type.
type Effect struct {
	Type string
	Data jsontext.Value
}

// Recorder writes a trace. Its methods must be called from the goroutine that owns the
// state.
type Recorder struct {
	w   io.Writer
	err error
}

// NewRecorder returns a recorder after writing the header to w. Errors are returned by Err.
func NewRecorder(w io.Writer, h Header) *Recorder {
	h.Trace = formatVersion
	r := &Recorder{w: w}
	r.writeLine(h)
	return r
}

// Record writes one event and its effects. After an error it writes nothing more.
func (r *Recorder) Record(now model.Time, ev event.Event, effects []effect.Effect) {
	data, err := json.Marshal(ev, event.JSONOptions)
	if err != nil {
		r.err = err
		return
	}
	step := Step{At: now, Type: event.Name(ev), Event: data}
	if step.Effects, err = encodeEffects(effects); err != nil {
		r.err = err
		return
	}
	r.writeLine(step)
}

// Err returns the error that ended the recording, or nil.
func (r *Recorder) Err() error { return r.err }

func (r *Recorder) writeLine(v any) {
	if r.err != nil {
		return
	}
	data, err := json.Marshal(v, event.JSONOptions)
	if err != nil {
		r.err = err
		return
	}
	_, r.err = r.w.Write(append(data, '\n'))
}

func encodeEffects(effects []effect.Effect) ([]Effect, error) {
	list := make([]Effect, 0, len(effects))
	for _, e := range effects {
		data, err := json.Marshal(e, event.JSONOptions)
		if err != nil {
			return nil, fmt.Errorf("encode effect %T: %w", e, err)
		}
		list = append(list, Effect{Type: reflect.TypeOf(e).Name(), Data: data})
	}
	return list, nil
}

// Result summarizes a replay.
type Result struct {
	Header  Header
	Steps   int
	Effects int
}

// MismatchError reports the first step at which a replay differs from its trace. Line counts from 1.
type MismatchError struct {
	Trace  string
	Line   int
	At     model.Time
	Event  string
	Reason string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("trace %q line %d: %s at %v: %s", e.Trace, e.Line, e.Event, e.At, e.Reason)
}

// Replay applies the events of a trace to a new state and compares the effects. It returns a
// *MismatchError at the first step that differs or breaks an invariant.
func Replay(r io.Reader) (*Result, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	if !scanner.Scan() {
		return nil, fmt.Errorf("trace has no header: %w", orEOF(scanner.Err()))
	}
	res := &Result{}
	if err := json.Unmarshal(scanner.Bytes(), &res.Header, event.JSONOptions); err != nil {
		return nil, fmt.Errorf("trace header: %w", err)
	}
	if res.Header.Trace != formatVersion {
		return nil, fmt.Errorf("trace format %d is not %d", res.Header.Trace, formatVersion)
	}
	state, err := newState(&res.Header)
	if err != nil {
		return nil, err
	}
	for line := 2; scanner.Scan(); line++ {
		var step Step
		if err := json.Unmarshal(scanner.Bytes(), &step, event.JSONOptions); err != nil {
			return res, fmt.Errorf("trace %q line %d: %w", res.Header.Name, line, err)
		}
		if reason := replayAndCompare(state, &step); reason != "" {
			return res, &MismatchError{res.Header.Name, line, step.At, step.Type, reason}
		}
		res.Steps++
		res.Effects += len(step.Effects)
	}
	return res, scanner.Err()
}

func orEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

func newState(h *Header) (*core.State, error) {
	switch h.Role {
	case RoleControl:
		return core.NewControl(h.Config, h.Start), nil
	case RoleTraffic:
		return core.NewTraffic(h.Config), nil
	}
	return nil, fmt.Errorf("trace %q has unknown role %q", h.Name, h.Role)
}

// replayAndCompare applies one step and returns the reason why it does not match, or "".
func replayAndCompare(state *core.State, step *Step) string {
	ev, err := event.Decode(step.Type, step.Event)
	if err != nil {
		return err.Error()
	}
	got, err := encodeEffects(core.Reduce(state, ev, step.At))
	if err != nil {
		return err.Error()
	}
	if err := core.Check(state, step.At); err != nil {
		return "invariant broken: " + err.Error()
	}
	return compare(step.Effects, got)
}

func compare(want, got []Effect) string {
	for i := range max(len(want), len(got)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("effect %d is missing: want %s %s", i+1, want[i].Type, want[i].Data)
		case i >= len(want):
			return fmt.Sprintf("effect %d is new: %s %s", i+1, got[i].Type, got[i].Data)
		case want[i].Type != got[i].Type || !bytes.Equal(want[i].Data, got[i].Data):
			return fmt.Sprintf("effect %d differs:\n  want %s %s\n  got  %s %s", i+1,
				want[i].Type, want[i].Data, got[i].Type, got[i].Data)
		}
	}
	return ""
}
