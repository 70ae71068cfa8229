package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// world drives a State by hand and keeps the last published view.
type world struct {
	state *State
	now   model.Time
	view  *model.EntryView
	// onEvent, if set, sees each event with its effects.
	onEvent func(Event, []Effect)
}

func newWorld(self model.VM) *world {
	return &world{state: New(DefaultConfig(self, 1)), now: model.Time(time.Second)}
}

func (w *world) do(ev Event) []Effect {
	effects := w.state.Reduce(ev, w.now)
	if w.onEvent != nil {
		w.onEvent(ev, effects)
	}
	for _, e := range effects {
		if p, ok := e.(PublishView); ok {
			w.view = p.View
		}
	}
	return effects
}

func (w *world) wait(d time.Duration) []Effect {
	w.now = w.now.Add(d)
	return w.do(Woken{})
}

// started brings a VM that is alone to the state in which it watches all kinds.
func started(self model.VM) *world {
	w := newWorld(self)
	w.do(Started{})
	w.do(Listed{Kind: KindVMs, Revision: 1, Changes: []Change{vmEntry(self)}})
	w.wait(time.Second)
	w.do(Listed{Kind: KindVMs, Revision: 1, Changes: []Change{vmEntry(self)}})
	w.do(Listed{Kind: KindConfig, Revision: 5, Changes: []Change{config(3, 4)}})
	w.do(Listed{Kind: KindReplicas, Revision: 5, Changes: []Change{server("s1", 1, false, 2)}})
	w.do(Listed{Kind: KindZonesOut, Revision: 5})
	w.do(Listed{Kind: KindRollouts, Revision: 5})
	return w
}

func vmEntry(name model.VM) Change {
	return Change{Name: string(name), Revision: 1, Value: &model.EntryVM{Name: name, Address: string(name) + ":1"}}
}

func config(version, revision uint64) Change {
	return Change{Name: "main", Revision: revision, Value: &model.EntryConfig{Version: version, Revision: revision}}
}

func server(id string, born int64, draining bool, revision uint64) Change {
	return Change{Name: id, Revision: revision, Value: &model.Replica{
		ID: model.BackendServerID(id), Set: "set", Zone: "a", Slots: 1, Draining: draining, StartedAt: time.UnixMilli(born),
	}}
}

func removed(id string, revision uint64) Change {
	return Change{Name: id, Revision: revision, Removed: true}
}

func (w *world) serverIDs() string {
	ids := ""
	for _, r := range w.view.Replicas["set"] {
		ids += string(r.ID) + " "
	}
	return ids
}

// find returns the first effect of a type.
func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if v, ok := e.(T); ok {
			return v, true
		}
	}
	return *new(T), false
}

func count[T Effect](effects []Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(T); ok {
			n++
		}
	}
	return n
}

// Guards against a VM that becomes ready before it knows what to serve.
func TestReady(t *testing.T) {
	is := is.New(t)
	w := newWorld("vm1")
	w.do(Started{})
	is.True(!w.state.Ready())
	is.True(started("vm1").state.Ready())
}

// Guards against a configuration that goes back, from a late list, watch or relay.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(Changed{Kind: KindConfig, Revision: 9, Changes: []Change{config(7, 9)}})
	is.Equal(w.view.Config.Version, uint64(7))
	w.do(Listed{Kind: KindConfig, Revision: 6, Changes: []Change{config(5, 6)}})
	w.do(Changed{Kind: KindConfig, Revision: 10, Changes: []Change{config(6, 10)}})
	w.do(Changed{Kind: KindConfig, Revision: 11, Changes: []Change{{Name: "main", Revision: 11, Problem: "cut"}}})
	w.do(Changed{Kind: KindConfig, Revision: 12, Changes: []Change{removed("main", 12)}})
	is.Equal(w.view.Config.Version, uint64(7))
}

// Guards against use of servers that are leaving, gone, unreadable, or in a zone that is out.
func TestServersThatMustNotBeUsed(t *testing.T) {
	tests := []struct {
		name   string
		change Changed
	}{
		{"draining", Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{server("s1", 1, true, 6)}}},
		{"gone", Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{removed("s1", 6)}}},
		{"unreadable", Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{{Name: "s1", Revision: 6, Problem: "bad"}}}},
		{"zone out", Changed{Kind: KindZonesOut, Revision: 6, Changes: []Change{{Name: "a", Revision: 6}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := started("vm1")
			is.Equal(w.serverIDs(), "s1 ")
			w.do(tt.change)
			is.Equal(w.serverIDs(), "")
		})
	}
}

// Guards against a zone that stays out after it was taken back.
func TestZoneReturns(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(Changed{Kind: KindZonesOut, Revision: 6, Changes: []Change{{Name: "a", Revision: 6}}})
	w.do(Changed{Kind: KindZonesOut, Revision: 7, Changes: []Change{removed("a", 7)}})
	is.Equal(w.serverIDs(), "s1 ")
}

// Guards against a late entry of an earlier start that makes a draining server usable again.
func TestEntryOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{server("s1", 20, true, 6)}})
	w.do(Changed{Kind: KindReplicas, Revision: 7, Changes: []Change{server("s1", 10, false, 7)}})
	is.Equal(w.serverIDs(), "")
}

// Guards against dropping live servers whose entries lapsed while the store was away, and
// against keeping those that do not come back.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(Changed{Kind: KindReplicas, Revision: 6, Changes: []Change{server("s2", 1, false, 6)}})
	w.now = w.now.Add(5 * time.Second) // the store was away
	w.do(Changed{Kind: KindReplicas, Revision: 9, Changes: []Change{removed("s1", 8), removed("s2", 9)}})
	is.Equal(w.serverIDs(), "s1 s2 ")
	w.now = w.now.Add(time.Second)
	w.do(Changed{Kind: KindReplicas, Revision: 10, Changes: []Change{server("s1", 1, false, 10)}})
	w.wait(1400 * time.Millisecond)
	is.Equal(w.serverIDs(), "s1 ")
}

// Guards against a removal that is taken for a lapse although the store has not been away.
func TestRemovalWithoutOutage(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.now = w.now.Add(1600 * time.Millisecond)
	w.do(Changed{Kind: KindReplicas, Revision: 8, Changes: []Change{removed("s1", 8)}})
	is.Equal(w.serverIDs(), "")
}

// Guards against a hammered store: while it does not answer, a VM asks for one kind only and
// pauses between its tries.
func TestFewReadsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	reads := 0
	for _, k := range Kinds() {
		w.do(ReadFailed{Kind: k, Cause: "refused"})
	}
	for range 100 {
		for _, e := range w.wait(50 * time.Millisecond) {
			switch e := e.(type) {
			case Watch:
				reads++
				w.do(ReadFailed{Kind: e.Kind, Cause: "refused"})
			case List:
				reads++
				w.do(ReadFailed{Kind: e.Kind, Cause: "refused"})
			}
		}
	}
	is.True(reads >= 4)
	is.True(reads <= 10)
}

// Guards against VMs that all read the store: with many VMs two of them read for all.
func TestFewReaders(t *testing.T) {
	is := is.New(t)
	var entries []Change
	for i := range 40 {
		entries = append(entries, vmEntry(model.VM(fmt.Sprintf("vm%d", i))))
	}
	readers := 0
	for i := range 40 {
		w := newWorld(model.VM(fmt.Sprintf("vm%d", i)))
		w.do(Started{})
		is.Equal(count[Follow](w.do(Listed{Kind: KindVMs, Revision: 1, Changes: entries})), 2)
		if count[List](w.wait(700*time.Millisecond)) > 1 { // more than the VMs
			readers++
		}
	}
	is.Equal(readers, 2)
}

// following returns a VM that follows others, the first of them, and all entries.
func following(t *testing.T) (*world, model.VM) {
	t.Helper()
	var entries []Change
	for i := range 40 {
		entries = append(entries, vmEntry(model.VM(fmt.Sprintf("vm%d", i))))
	}
	for i := range 40 {
		w := newWorld(model.VM(fmt.Sprintf("vm%d", i)))
		w.do(Started{})
		follow, ok := find[Follow](w.do(Listed{Kind: KindVMs, Revision: 1, Changes: entries}))
		if ok && w.state.ranked() >= w.state.cfg.Readers {
			for k := range kinds {
				u := &Update{Kind: k, Full: true, Revision: 5}
				if k == KindVMs {
					u.Changes = entries
				}
				w.do(UpstreamStatusReceived{From: follow.VM, Update: u})
			}
			return w, follow.VM
		}
	}
	t.Fatal("no VM follows another one")
	return nil, ""
}

// Guards against a follower that trusts a VM that has fallen silent, or one whose own word from
// the store is old.
func TestFollowerReadsWhenItsSourceIsStale(t *testing.T) {
	is := is.New(t)
	w, from := following(t)
	for range 5 {
		w.now = w.now.Add(400 * time.Millisecond)
		is.Equal(count[Watch](w.do(UpstreamStatusReceived{From: from})), 0)
	}
	stale := UpstreamStatusReceived{From: from, Ages: Ages{2600 * time.Millisecond, 0, 0, 0, 0}}
	w.now = w.now.Add(2600 * time.Millisecond)
	effects := w.do(stale)
	watch, ok := find[Watch](effects)
	is.True(ok)
	is.Equal(watch.Kind, KindConfig)
	is.Equal(watch.Since, uint64(5))
}

// Guards against following a VM that has fallen silent.
func TestSilentVMIsReplaced(t *testing.T) {
	is := is.New(t)
	w, from := following(t)
	effects := w.wait(1500 * time.Millisecond)
	is.True(count[Unfollow](effects) >= 1)
	follow, ok := find[Follow](effects)
	is.True(ok)
	is.True(follow.VM != from)
}

// Guards against a hole in what is known: an update that does not join up is left out, and
// only a full one from the store or a VM ends the doubt.
func TestMissingChanges(t *testing.T) {
	is := is.New(t)
	w, from := following(t)
	w.do(UpstreamStatusReceived{From: from, Update: &Update{Kind: KindConfig, Since: 8, Revision: 9, Changes: []Change{config(4, 9)}}})
	is.Equal(w.view.Config, nil)
	is.Equal(w.state.KnownRevision(KindConfig), uint64(0))
	w.do(UpstreamStatusReceived{From: from, Update: &Update{Kind: KindConfig, Full: true, Revision: 9, Changes: []Change{config(4, 9)}}})
	is.Equal(w.view.Config.Version, uint64(4))
}

// Guards against two VMs that follow each other and pass the same update back and forth.
func TestKnownUpdateIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	w, from := following(t)
	w.do(FollowerJoined{Follower: 1})
	update := UpstreamStatusReceived{From: from, Update: &Update{Kind: KindConfig, Since: 5, Revision: 9, Changes: []Change{config(4, 9)}}}
	spread := func(effects []Effect) int {
		n := 0
		for _, e := range effects {
			if s, ok := e.(SendUpdate); ok && s.Update != nil {
				n++
			}
		}
		return n
	}
	is.Equal(spread(w.do(update)), 1)
	is.Equal(spread(w.do(update)), 0)
}

// Guards against a new follower that lacks what is known.
func TestNewFollowerGetsAll(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	names := make(map[string]bool)
	for _, e := range w.do(FollowerJoined{Follower: 7}) {
		if s, ok := e.(SendUpdate); ok && s.Update != nil {
			is.Equal(s.Follower, uint64(7))
			is.True(s.Update.Full)
			for _, c := range s.Update.Changes {
				names[c.Name] = true
			}
		}
	}
	is.True(names["main"] && names["s1"] && names["vm1"])
}

// Guards against listing a kind without end after the history is gone: a list that brings
// nothing new ends it too.
func TestListsOnceWhenTheHistoryIsGone(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	is.Equal(count[List](w.do(HistoryGone{Kind: KindConfig})), 1)
	effects := w.do(Listed{Kind: KindConfig, Revision: 5, Changes: []Change{config(3, 4)}})
	is.Equal(count[List](effects), 0)
	is.Equal(count[Watch](effects), 1)
}

// Guards against shares of a bound that are taken from an incomplete list of the VMs: one that
// registers later is known at once.
func TestLateVMIsKnown(t *testing.T) {
	is := is.New(t)
	w := newWorld("vm1")
	w.do(Started{})
	w.do(Listed{Kind: KindVMs, Revision: 1, Changes: []Change{vmEntry("vm1")}})
	w.wait(time.Second)
	effects := w.do(Listed{Kind: KindVMs, Revision: 1, Changes: []Change{vmEntry("vm1")}})
	watches := 0
	for _, e := range effects {
		if watch, ok := e.(Watch); ok && watch.Kind == KindVMs {
			watches++
		}
	}
	is.Equal(watches, 1)
	late := vmEntry("vm2")
	late.Revision = 7
	w.do(Changed{Kind: KindVMs, Revision: 7, Changes: []Change{late}})
	is.Equal(w.view.ServingVMs, 2)
	is.Equal(len(w.view.Senders), 2)
}

// Guards against a VM that learns nothing from a store that is too slow for its watches: after
// two that fail it lists.
func TestListsWhenWatchesFail(t *testing.T) {
	is := is.New(t)
	w := started("vm1")
	w.do(ReadFailed{Kind: KindConfig, Cause: "timeout"})
	is.Equal(count[List](w.wait(time.Second)), 0)
	w.do(ReadFailed{Kind: KindConfig, Cause: "timeout"})
	is.Equal(count[List](w.wait(time.Second)), 1)
	is.Equal(count[Watch](w.do(Listed{Kind: KindConfig, Revision: 5})), 1)
}
