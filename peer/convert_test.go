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

// passThroughWire encodes m and decodes it into the given message.
func passThroughWire[T proto.Message](t *testing.T, m, into T) T {
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

// TestRoundTrip guards against a field that is not converted. It sets every field of the Go types
// by reflection.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var hb event.Heartbeat
	nonzero.Fill(&hb, nil)
	hb.Overrides[0].Key.Kind, hb.Overrides[0].Pause = model.ObjectZone, nil
	hb.Overrides[1].Key.Kind, hb.Overrides[1].Zone = model.ObjectAutomation, nil
	is.Equal(HeartbeatFromPB(passThroughWire(t, HeartbeatToPB(&hb), &peerpb.Heartbeat{})), hb)

	var r event.Release
	nonzero.Fill(&r, nil)
	is.Equal(releaseFromPB(passThroughWire(t, releaseToPB(&r), &peerpb.Release{})), r)

	var req model.SubRequest
	nonzero.Fill(&req, nil)
	is.Equal(subRequestFromPB(passThroughWire(t, subRequestToPB(&req), &peerpb.SubRequest{})), req)
	req.Trace = model.TraceContext{}
	is.Equal(subRequestFromPB(passThroughWire(t, subRequestToPB(&req), &peerpb.SubRequest{})), req)

	var rep model.SubReply
	nonzero.Fill(&rep, nil)
	is.Equal(subReplyFromPB(passThroughWire(t, subReplyToPB(&rep), &peerpb.SubReply{})), rep)

	var c event.Cancel
	nonzero.Fill(&c, nil)
	is.Equal(cancelFromPB(passThroughWire(t, cancelToPB(&c), &peerpb.Cancel{})), c)

	o := model.Object{Key: model.ObjectKey{Kind: model.ObjectMove, Name: "m"}, Move: &model.Move{}}
	nonzero.Fill(o.Move, nil)
	nonzero.Fill(&o.Write, nil)
	o.Version, o.Base = 9, 8
	p, err := objectToPB(&o)
	is.NoErr(err)
	got, err := objectFromPB(passThroughWire(t, p, &peerpb.Object{}))
	is.NoErr(err)
	is.Equal(got, o)
	deleted := model.Object{Key: o.Key, Version: 10, Deleted: true}
	p, err = objectToPB(&deleted)
	is.NoErr(err)
	got, err = objectFromPB(passThroughWire(t, p, &peerpb.Object{}))
	is.NoErr(err)
	is.Equal(got, deleted)
}

// TestOutOfRange guards against a value that is out of range or that only newer daemons know, and that
// is decoded as another, valid value.
func TestOutOfRange(t *testing.T) {
	is := is.New(t)
	is.True(subReplyFromPB(&peerpb.SubReply{Outcome: 256}).Outcome != model.OutcomeOK)
	is.True(!subReplyFromPB(&peerpb.SubReply{Outcome: 256 + uint32(model.OutcomeShed)}).Outcome.NotRun())
	is.True(subRequestFromPB(&peerpb.SubRequest{Kind: 256}).Kind != model.KindSearch)
	is.Equal(subRequestFromPB(&peerpb.SubRequest{Class: 300}).Class, model.Class(255)) // not class 44, which truncation would give
	is.True(subRequestFromPB(&peerpb.SubRequest{BudgetMicros: 1 << 62}).Budget > time.Hour)
	is.True(subRequestFromPB(&peerpb.SubRequest{BudgetMicros: -1 << 62}).Budget < 0)
	is.Equal(microsRoundedUp(time.Millisecond+1), int64(1001)) // rounded up, so that no slot is freed early
	unsupported := &peerpb.Heartbeat{Overrides: []*peerpb.Override{{Kind: string(model.ObjectRoster), Name: "x", Data: []byte(`{"value":{}}`)}}}
	is.Equal(len(HeartbeatFromPB(unsupported).Overrides), 0) // sets neither a zone nor a pause
}

// FuzzDecode guards against a message that makes a decoder panic, and against a heartbeat or
// release that changes when it is encoded and decoded again.
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
				t.Fatalf("%+v decoded again as %+v", first, again)
			}
		}
		var r peerpb.Release
		if proto.Unmarshal(data, &r) == nil {
			first := releaseFromPB(&r)
			if again := releaseFromPB(releaseToPB(&first)); !reflect.DeepEqual(first, again) {
				t.Fatalf("%+v decoded again as %+v", first, again)
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
