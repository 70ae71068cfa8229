package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/nonzero"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

// wire passes a message through its encoding.
func wire[T proto.Message](t *testing.T, m, into T) T {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	return into
}

// TestRoundTrip guards against a field without conversion: every field of the Go types is
// set by reflection.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var hb event.Heartbeat
	nonzero.Fill(&hb, nil)
	hb.Overrides[0].Key.Kind, hb.Overrides[0].Pause = model.ObjectZone, nil
	hb.Overrides[1].Key.Kind, hb.Overrides[1].Zone = model.ObjectAutomation, nil
	is.Equal(HeartbeatFromPB(wire(t, HeartbeatToPB(&hb), &peerpb.Heartbeat{})), hb)

	var r event.Release
	nonzero.Fill(&r, nil)
	is.Equal(releaseFromPB(wire(t, releaseToPB(&r), &peerpb.Release{})), r)

	var req model.SubRequest
	nonzero.Fill(&req, nil)
	is.Equal(subRequestFromPB(wire(t, subRequestToPB(&req), &peerpb.SubRequest{})), req)
	req.Trace = model.TraceContext{}
	is.Equal(subRequestFromPB(wire(t, subRequestToPB(&req), &peerpb.SubRequest{})), req)

	var rep model.SubReply
	nonzero.Fill(&rep, nil)
	is.Equal(subReplyFromPB(wire(t, subReplyToPB(&rep), &peerpb.SubReply{})), rep)

	var c event.Cancel
	nonzero.Fill(&c, nil)
	is.Equal(cancelFromPB(wire(t, cancelToPB(&c), &peerpb.Cancel{})), c)

	o := model.Object{Key: model.ObjectKey{Kind: model.ObjectMove, Name: "m"}, Move: &model.Move{}}
	nonzero.Fill(o.Move, nil)
	nonzero.Fill(&o.Write, nil)
	o.Version, o.Base = 9, 8
	p, err := objectToPB(&o)
	is.NoErr(err)
	got, err := objectFromPB(wire(t, p, &peerpb.Object{}))
	is.NoErr(err)
	is.Equal(got, o)
	gone := model.Object{Key: o.Key, Version: 10, Deleted: true}
	p, err = objectToPB(&gone)
	is.NoErr(err)
	got, err = objectFromPB(wire(t, p, &peerpb.Object{}))
	is.NoErr(err)
	is.Equal(got, gone)
}

// TestOutOfRange guards against a value of a newer daemon that turns into another valid one.
func TestOutOfRange(t *testing.T) {
	is := is.New(t)
	is.True(subReplyFromPB(&peerpb.SubReply{Outcome: 256}).Outcome != model.OutcomeOK)
	is.True(!subReplyFromPB(&peerpb.SubReply{Outcome: 256 + uint32(model.OutcomeShed)}).Outcome.NotRun())
	is.True(subRequestFromPB(&peerpb.SubRequest{Kind: 256}).Kind != model.KindSearch)
	is.Equal(subRequestFromPB(&peerpb.SubRequest{Class: 300}).Class, model.Class(255)) // not the most important
	is.True(subRequestFromPB(&peerpb.SubRequest{BudgetMicros: 1 << 62}).Budget > time.Hour)
	is.True(subRequestFromPB(&peerpb.SubRequest{BudgetMicros: -1 << 62}).Budget < 0)
	is.Equal(microsUp(time.Millisecond+1), int64(1001)) // a slot is not freed early
	template := &peerpb.Heartbeat{Overrides: []*peerpb.Override{{Kind: string(model.ObjectRoster), Name: "x", Data: []byte(`{"value":{}}`)}}}
	is.Equal(len(HeartbeatFromPB(template).Overrides), 0) // neither zone nor pause
}

// FuzzDecode guards against a message that makes a decoder panic, and against a heartbeat or
// release that changes when it is passed on.
func FuzzDecode(f *testing.F) {
	var hb event.Heartbeat
	nonzero.Fill(&hb, nil)
	var req model.SubRequest
	nonzero.Fill(&req, nil)
	for _, m := range []proto.Message{
		HeartbeatToPB(&hb),
		&peerpb.Heartbeat{Overrides: []*peerpb.Override{{}, {Kind: "zones", Data: []byte(`{"value":null}`)}}},
		&peerpb.Release{Keys: []*peerpb.ReleasedKey{{}, {Running: []*peerpb.Remaining{{}}}}},
		&peerpb.TrafficMessage{Requests: []*peerpb.SubRequest{subRequestToPB(&req)}, Replies: []*peerpb.SubReply{{}}, Cancels: []*peerpb.Cancel{{}}},
		&peerpb.PullResponse{Objects: []*peerpb.Object{{Kind: "templates", Data: []byte(`{"value":"{}"}`)}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	n := New(Config{Self: "a"}, &recorder{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h peerpb.Heartbeat
		if proto.Unmarshal(data, &h) == nil {
			first := HeartbeatFromPB(&h)
			if again := HeartbeatFromPB(HeartbeatToPB(&first)); !reflect.DeepEqual(first, again) {
				t.Fatalf("%+v became %+v", first, again)
			}
		}
		var r peerpb.Release
		if proto.Unmarshal(data, &r) == nil {
			first := releaseFromPB(&r)
			if again := releaseFromPB(releaseToPB(&first)); !reflect.DeepEqual(first, again) {
				t.Fatalf("%+v became %+v", first, again)
			}
		}
		var m peerpb.TrafficMessage
		if proto.Unmarshal(data, &m) == nil {
			n.deliver("b", &m)
		}
		var p peerpb.PullResponse
		if proto.Unmarshal(data, &p) == nil {
			for _, o := range p.GetObjects() {
				_, _ = objectFromPB(o)
			}
		}
	})
}
