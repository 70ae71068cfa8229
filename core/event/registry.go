package event

import (
	"fmt"
	"reflect"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// JSONOptions make the JSON of events and effects deterministic, with durations in
// nanoseconds.
var JSONOptions = json.JoinOptions(json.Deterministic(true), jsonv1.FormatDurationAsNano(true))

var eventTypes = typesByName(
	Tick{}, HeartbeatReceived{}, VMsListed{}, ObjectsReceived{}, StoreFailed{}, PullFailed{},
	WriteDone{}, OperatorCommand{}, MoveOutcomes{}, KeyDrained{}, ReleaseReceived{},
	LeaveRequested{}, ViewPublished{}, RequestReceived{}, CallerGone{}, SubRequestsReceived{},
	SubRepliesReceived{}, CancelsReceived{}, SendFailed{}, PeerLost{}, AttemptDone{}, DrainKey{},
	Wake{},
)

var commandTypes = typesByName(ApplyTemplate{}, SetZone{}, SetPause{}, StartMove{}, TakeBackMove{})

func typesByName(values ...any) map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(values))
	for _, v := range values {
		t := reflect.TypeOf(v)
		m[t.Name()] = t
	}
	return m
}

// Name returns the type name of an event, as used in traces.
func Name(e Event) string { return reflect.TypeOf(e).Name() }

// Decode reads the event with the given type name from JSON.
func Decode(name string, data []byte) (Event, error) {
	v, err := decode(eventTypes, name, data)
	if err != nil {
		return nil, fmt.Errorf("event %q: %w", name, err)
	}
	return v.(Event), nil
}

func decode(types map[string]reflect.Type, name string, data []byte) (any, error) {
	t, ok := types[name]
	if !ok {
		return nil, fmt.Errorf("unknown type %q", name)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(data, v.Interface(), JSONOptions); err != nil {
		return nil, err
	}
	return v.Elem().Interface(), nil
}

// operatorCommandJSON is the JSON form of OperatorCommand. Type is the type name of the body.
type operatorCommandJSON struct {
	Command uint64
	By      string
	Type    string
	Body    jsontext.Value
}

// MarshalJSON implements json.Marshaler.
func (c OperatorCommand) MarshalJSON() ([]byte, error) {
	if c.Body == nil {
		return nil, fmt.Errorf("command %d has no body", c.Command)
	}
	body, err := json.Marshal(c.Body, JSONOptions)
	if err != nil {
		return nil, err
	}
	return json.Marshal(operatorCommandJSON{c.Command, c.By, reflect.TypeOf(c.Body).Name(), body})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *OperatorCommand) UnmarshalJSON(data []byte) error {
	var v operatorCommandJSON
	if err := json.Unmarshal(data, &v, JSONOptions); err != nil {
		return err
	}
	body, err := decode(commandTypes, v.Type, v.Body)
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	c.Command, c.By, c.Body = v.Command, v.By, body.(Command)
	return nil
}
