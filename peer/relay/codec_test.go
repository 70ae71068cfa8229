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

// Guards against updates that change on their way, packed or not.
func TestUpdatesSurviveTheirCoding(t *testing.T) {
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
		m, err := encode(directory.SendUpdate{Ages: ages, Update: update})
		is.NoErr(err)
		is.Equal(m.GetPacked(), size > packFrom)
		is.Equal(decodeAges(m.GetAgesMicros()), ages)
		objects, err := unpack(m.GetObjects(), m.GetPacked())
		is.NoErr(err)
		is.Equal(len(objects), 2)
		is.Equal(objects[0].GetName(), "a")
		is.Equal(len(objects[0].GetData()), size)
		is.True(objects[1].GetRemoved())
		is.Equal(len(objects[1].GetData()), 0)
	}
}

// Guards against a broken message that ends the process.
func TestBrokenObjects(t *testing.T) {
	is := is.New(t)
	_, err := unpack([]byte("no gzip"), true)
	is.True(err != nil)
	_, err = unpack([]byte{0xff, 0xff}, false)
	is.True(err != nil)
}

// Guards against evidence and orders that change on their way between VMs.
func TestRolloutWordsSurviveTheirCoding(t *testing.T) {
	is := is.New(t)
	evidence := []model.MoveEvidence{{
		Move: "files/3/v2", Route: "read", VM: "vm1", Boot: 7, Withheld: true,
		Failures: model.PairCounts{Pairs: 9, NewWorse: 2, OldWorse: 1}, Slow: model.PairCounts{Pairs: 8, NewWorse: 4, OldWorse: 3},
	}}
	is.Equal(decodeEvidence(&relaypb.FollowRequest{Vm: "vm1", Evidence: encodeEvidence(evidence)}), evidence)
	orders := []directory.RolloutStatus{{Order: "files/3/v2", Age: 3 * time.Second, Withheld: true}}
	m, err := encode(directory.SendUpdate{Rollouts: orders})
	is.NoErr(err)
	is.Equal(decodeOrders(m.GetOrders()), orders)
}
