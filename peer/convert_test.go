package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

// TestReleaseOverTheWire guards fields of a release that are not converted.
func TestReleaseOverTheWire(t *testing.T) {
	is := is.New(t)
	want := event.Release{From: "vm-a", Boot: 3, To: "vm-b", Keys: []event.ReleasedKey{{
		Key: model.ShardKey{
			Route:   model.Route{Customer: "haugland", Route: "portal-search"},
			Version: "v1",
			Shard:   "s1",
		},
		Running: []event.Remaining{{Server: "s1-0", Left: 20 * time.Millisecond}},
		Submits: []event.RecentSubmit{{Dedupe: "d", Age: time.Second, NotRun: true}},
		Servers: []model.ServerState{
			{Server: "s1-0", Boot: 1 << 63, Limit: 2, Successes: 7},
			{Server: "s1-1"},
		},
	}}}
	data, err := proto.Marshal(releaseToPB(&want))
	is.NoErr(err)
	var p peerpb.Release
	is.NoErr(proto.Unmarshal(data, &p))
	is.Equal(releaseFromPB(&p), want)
}
