package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// forwarding returns a VM that hands gathered queries to a sender, after its first query.
func forwarding(t *testing.T) (*world, Forward) {
	t.Helper()
	w := newWorld(t, gathered(2, 0.5))
	w.servers("set0", 2)
	w.servers("set1", 2)
	w.view.Senders = []model.EntryVM{{Name: "large", Address: "large:1"}}
	return w, only[Forward](t, w.request("/s/q"))
}

// Guards against a query that is sent from two VMs at once.
func TestForwardedQueryIsNotSentFromHere(t *testing.T) {
	is := is.New(t)
	w, f := forwarding(t)
	is.Equal(f.VM, model.VM("large"))
	is.Equal(f.MinVersion, uint64(3))
	w.do(ForwardAccepted{Query: f.Query})
	w.wait(500 * time.Millisecond)
	is.Equal(len(w.sends), 0)
	g := only[GatheredReply](t, w.do(ForwardAnswered{Query: f.Query, Version: 3, Gathered: &GatheredReply{Signatures: []string{"a"}, Missing: 1}}))
	is.Equal(g.Query, f.Query)
	is.Equal(g.Missing, 1)
}

// Guards against a query that a sender may be running and that is sent from here too, which
// reaches more servers of a shard than the route allows, and against one that is held back.
func TestSenderFails(t *testing.T) {
	tests := []struct {
		name   string
		fail   func(w *world, f Forward) []Effect
		refuse bool
	}{
		{"declined", func(w *world, f Forward) []Effect { return w.do(ForwardDeclined{Query: f.Query}) }, false},
		{"never reached", func(w *world, f Forward) []Effect { return w.do(ForwardLost{VM: f.VM}) }, false},
		{"lost before it accepted", func(w *world, f Forward) []Effect { return w.do(ForwardLost{VM: f.VM, Opened: true}) }, true},
		{"lost after it accepted", func(w *world, f Forward) []Effect {
			w.do(ForwardAccepted{Query: f.Query})
			return w.do(ForwardLost{VM: f.VM, Opened: true})
		}, true},
		{"silent", func(w *world, _ Forward) []Effect { return w.wait(acceptTimeout) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, f := forwarding(t)
			effects := tt.fail(w, f)
			is.Equal(has[Send](effects), !tt.refuse)
			if tt.refuse {
				is.Equal(only[Refuse](t, effects).Code, CodeFailed)
			}
			is.True(!has[Forward](w.request("/s/q"))) // the sender is left out for a while
			w.now = w.now.Add(senderLostFor)
			is.True(has[Forward](w.request("/s/q")))
		})
	}
}

// Guards against giving up on a sender whose word waits unread because this VM itself had no
// processor.
func TestOwnDelayIsNotTheSenders(t *testing.T) {
	is := is.New(t)
	w, f := forwarding(t)
	is.True(!has[Refuse](w.wait(acceptTimeout + 300*time.Millisecond)))
	w.do(ForwardAccepted{Query: f.Query})
	is.True(!has[Refuse](w.wait(acceptTimeout)))
}

// Guards against a sender that answers by an older configuration than the entry VM's, or by
// much older beliefs.
func TestSenderDeclines(t *testing.T) {
	tests := []struct {
		name   string
		ev     RequestReceived
		accept bool
	}{
		{"same", RequestReceived{MinVersion: 3}, true},
		{"older configuration", RequestReceived{MinVersion: 4}, false},
		{"beliefs a little older", RequestReceived{ViewAge: time.Second}, true},
		{"beliefs much older", RequestReceived{ViewAge: 3 * time.Second}, false},
		{"both old", RequestReceived{ViewAge: 3 * time.Second, EntryViewAge: 3 * time.Second}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, gathered(1, 0.5))
			w.servers("set0", 1)
			w.view.IsSender = true
			w.do(ViewPublished{View: w.view})
			ev := tt.ev
			ev.Query, ev.Host, ev.Path, ev.Forwarded, ev.CallerTimeout = 1, "shop.example", "/s/q", true, time.Second
			effects := w.do(ev)
			is.Equal(has[AcceptForward](effects), tt.accept)
			is.Equal(has[Send](effects), tt.accept)
			is.Equal(has[DeclineForward](effects), !tt.accept)
		})
	}
}

// Guards against a sender that works on after the caller has left.
func TestCallerOfForwardedQueryLeaves(t *testing.T) {
	is := is.New(t)
	w, f := forwarding(t)
	is.Equal(only[CancelForward](t, w.do(CallerGone{Query: f.Query})).VM, f.VM)
	is.Equal(len(w.state.queries), 0)
}
