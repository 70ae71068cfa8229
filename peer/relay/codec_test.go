package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

// Guards against updates that change when they are encoded and decoded, compressed or not.
func TestUpdateRoundTrip(t *testing.T) {
	for _, size := range []int{1, 100_000} {
		is := is.New(t)
		update := &directory.Update{
			Kind: directory.KindReplicas, Since: 4, Revision: 9,
			Changes: []directory.Change{
				{Name: "a", Revision: 8, Data: []byte(strings.Repeat("x", size))},
				{Name: "b", Revision: 9, Removed: true, Data: []byte("old")},
			},
		}
		ages := directory.Ages{time.Second, directory.UnknownAge, 0}
		m, err := encodeUpdate(directory.SendUpdate{Ages: ages, Update: update})
		is.NoErr(err)
		is.Equal(m.GetPacked(), size > compressionThreshold)
		is.Equal(decodeAges(m.GetAgesMicros()), ages)
		objects, err := decodeObjects(m.GetObjects(), m.GetPacked())
		is.NoErr(err)
		is.Equal(len(objects), 2)
		is.Equal(objects[0].GetName(), "a")
		is.Equal(len(objects[0].GetData()), size)
		is.True(objects[1].GetRemoved())
		is.Equal(len(objects[1].GetData()), 0)
	}
}

// Guards against an invalid message that makes the decoder panic or that is accepted.
func TestInvalidObjects(t *testing.T) {
	is := is.New(t)
	_, err := decodeObjects([]byte("no gzip"), true)
	is.True(err != nil)
	_, err = decodeObjects([]byte{0xff, 0xff}, false)
	is.True(err != nil)
}

// Guards against evidence and rollouts that change when they are encoded and decoded.
func TestRolloutRoundTrip(t *testing.T) {
	is := is.New(t)
	evidence := []model.MoveEvidence{{
		Move: "files/3/v2", Route: "read", VM: "vm1", Boot: 7, Withheld: true,
		Failures: model.PairCounts{Pairs: 9, NewWorse: 2, OldWorse: 1}, Slow: model.PairCounts{Pairs: 8, NewWorse: 4, OldWorse: 3},
		Ranks: model.RankCounts{Trials: [model.MaxNeighbours]uint64{1, 2, 3, 9}, Slowest: [model.MaxNeighbours]uint64{0, 1, 2, 8}},
	}}
	usage := []model.RolloutUsage{{Order: "set/6/v2", VM: "vm1", Boot: 7, Demand: 45, Requests: 40, Sent: 3, Failed: 2, OldSent: 38, OldFailed: 1}}
	is.Equal(decodeUsage(&relaypb.FollowRequest{Vm: "vm1", Usage: encodeUsage(usage)}), usage)
	is.Equal(decodeEvidence(&relaypb.FollowRequest{Vm: "vm1", Evidence: encodeEvidence(evidence)}), evidence)
	rollouts := []directory.RolloutStatus{{Order: "files/3/v2", Age: 3 * time.Second, Withheld: true}}
	m, err := encodeUpdate(directory.SendUpdate{Rollouts: rollouts})
	is.NoErr(err)
	is.Equal(decodeRollouts(m.GetOrders()), rollouts)
}

// Guards against an update of a kind that a later build adds, which would replace the configuration: the
// kind's number must not be cut to a known one.
func TestUpdateOfUnknownKindIsOmitted(t *testing.T) {
	for _, kind := range []uint32{uint32(directory.KindCount), 256 + uint32(directory.KindConfig), 1 << 30} {
		is := is.New(t)
		n := New("vm1", unknownRevisions{}, func(directory.Kind, []byte) directory.Change { return directory.Change{} })
		status, err := n.decodeUpdate("vm2", &relaypb.Update{Kind: kind, Full: true, Revision: 9})
		is.NoErr(err)
		is.True(status.Update == nil)
	}
}

// unknownRevisions is a Handler of a VM that knows no objects.
type unknownRevisions struct{ Handler }

func (unknownRevisions) KnownRevision(directory.Kind) uint64 { return 0 }
