package vtime

import (
	"io"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/trace"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Node is one daemon: a control state and one traffic worker.
type Node struct {
	c       *Cluster
	VM      model.VM
	Zone    model.AvailabilityZone
	born    time.Duration
	config  core.Config
	control *core.State
	traffic *core.State
	View    *model.View

	dead    bool
	frozen  bool
	held    []func() // what arrived while frozen
	leaving bool
	Left    bool

	watch   *watch
	wakeSeq int
	running map[model.AttemptID]func()
	queries map[model.QueryID]func(effect.ReplyCaller)
	lastID  uint64
	command map[uint64]func(effect.CommandResult)

	controlTrace *trace.Recorder
	trafficTrace *trace.Recorder

	Events       int
	BytesBeats   int // encoded size of heartbeats sent
	HeartbeatsTx int
}

func (n *Node) now() model.Time { return model.Time(n.c.Sched.Now() - n.born) }

// deliver runs f on the node, or holds it back while the node is frozen.
func (n *Node) deliver(f func()) {
	if n.dead {
		return
	}
	if n.frozen {
		n.held = append(n.held, f)
		return
	}
	f()
}

// RecordControl records the control role of a node that has taken no event yet.
func (n *Node) RecordControl(w io.Writer, name, outcome string) *trace.Recorder {
	n.controlTrace = trace.NewRecorder(w, trace.Header{
		Name: name, Outcome: outcome, Role: trace.RoleControl, Config: n.config,
	})
	return n.controlTrace
}

// RecordTraffic records the traffic role of a node that has taken no event yet.
func (n *Node) RecordTraffic(w io.Writer, name, outcome string) *trace.Recorder {
	n.trafficTrace = trace.NewRecorder(w, trace.Header{
		Name: name, Outcome: outcome, Role: trace.RoleTraffic, Config: n.config,
	})
	return n.trafficTrace
}

// Freeze stops the node as a paused VM would.
func (n *Node) Freeze() { n.frozen = true }

// Thaw lets a frozen node go on; everything held back arrives at once.
func (n *Node) Thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

// Crash ends the node as a VM that fails: nobody is told.
func (n *Node) Crash() {
	n.dead = true
	n.c.Store.stopWatch(n.watch)
	for _, id := range sortedKeys(n.running) {
		n.running[id]() // the backend servers see the connections break
	}
}

// Kill ends the node as a process that is killed: its peers see their connections break.
func (n *Node) Kill() {
	n.Crash()
	for _, o := range n.c.Nodes {
		if o != n {
			n.c.Links.send(n.VM, o.VM, func() { o.deliver(func() { o.toTraffic(event.PeerLost{VM: n.VM}) }) })
		}
	}
}

// Alive reports whether the node runs.
func (n *Node) Alive() bool { return !n.dead }

// Leave starts a graceful leave.
func (n *Node) Leave() {
	n.leaving = true
	n.deliver(func() { n.toControl(event.LeaveRequested{}) })
}

func (n *Node) tick() {
	if n.dead {
		return
	}
	n.c.Sched.After(core.DefaultTickInterval, n.tick)
	if n.frozen {
		return
	}
	n.toControl(event.Tick{Wall: n.c.Wall()})
}

func (n *Node) toControl(ev event.Event) {
	n.Events++
	now := n.now()
	effects := core.Reduce(n.control, ev, now)
	if n.controlTrace != nil {
		n.controlTrace.Record(now, ev, effects)
	}
	for _, e := range effects {
		n.performControl(e)
	}
}

func (n *Node) toTraffic(ev event.Event) {
	n.Events++
	now := n.now()
	effects := core.Reduce(n.traffic, ev, now)
	if n.trafficTrace != nil {
		n.trafficTrace.Record(now, ev, effects)
	}
	for _, e := range effects {
		n.performTraffic(e)
	}
	if n.c.AfterEvent != nil {
		n.c.AfterEvent(n)
	}
}

func (n *Node) controlLater(ev event.Event) {
	n.c.Sched.After(0, func() { n.deliver(func() { n.toControl(ev) }) })
}

func (n *Node) performControl(e effect.Effect) {
	switch v := e.(type) {
	case effect.SendHeartbeat:
		n.heartbeat(v)
	case effect.SendRelease:
		n.c.toNode(n, v.To, func(o *Node) { o.toControl(event.ReleaseReceived{Release: v.Release}) })
	case effect.PullObjects:
		n.pull(v)
	case effect.WatchStore:
		n.c.Store.stopWatch(n.watch)
		n.watch = n.c.Store.startWatch(v.Since, n.controlLater)
	case effect.StopWatch:
		n.c.Store.stopWatch(n.watch)
		n.watch = nil
	case effect.WriteObject:
		n.c.Store.put(v.Object, v.IfVersion, func(o event.WriteOutcome, obj model.Object) {
			n.controlLater(event.WriteDone{Write: v.Write, Outcome: o, Object: obj})
		})
	case effect.ReadObject:
		n.c.Store.read(v.Key, n.controlLater)
	case effect.ReplyOperator:
		if done := n.command[v.Command]; done != nil {
			delete(n.command, v.Command)
			done(v.Result)
		}
	case effect.PublishView:
		n.View = v.View
		n.c.Sched.After(0, func() { n.deliver(func() { n.toTraffic(event.ViewPublished{View: v.View}) }) })
	case effect.DrainKey:
		n.c.Sched.After(0, func() { n.deliver(func() { n.toTraffic(event.DrainKey{Key: v.Key, Term: v.Term}) }) })
	case effect.Left:
		n.Left = true
	case effect.Log:
		n.c.log(n, v)
	}
}

func (n *Node) heartbeat(v effect.SendHeartbeat) {
	n.HeartbeatsTx++
	if n.c.HeartbeatSize != nil {
		n.BytesBeats += n.c.HeartbeatSize(&v.Heartbeat)
	}
	if n.c.Links.Loss > 0 && n.c.Sched.Rand.Float64() < n.c.Links.Loss {
		return
	}
	n.c.toNode(n, v.To, func(o *Node) { o.toControl(event.HeartbeatReceived{Heartbeat: v.Heartbeat}) })
}

func (n *Node) pull(v effect.PullObjects) {
	o := n.c.node(v.Peer)
	failed := func() {
		n.c.Sched.After(callTimeout, func() { n.deliver(func() { n.toControl(event.PullFailed{Peer: v.Peer}) }) })
	}
	if o == nil || o.dead || o.frozen {
		failed()
		return
	}
	sent := n.c.Links.send(n.VM, o.VM, func() {
		o.deliver(func() {
			objects, revision := o.control.Control.Newer(v.Since)
			if !n.c.Links.send(o.VM, n.VM, func() {
				n.deliver(func() {
					n.toControl(event.ObjectsReceived{Peer: o.VM, Revision: revision, Objects: objects})
				})
			}) {
				failed()
			}
		})
	})
	if !sent {
		failed()
	}
}

func (n *Node) performTraffic(e effect.Effect) {
	switch v := e.(type) {
	case effect.SendSubRequests:
		n.sendRequests(v)
	case effect.SendSubReplies:
		n.c.toNode(n, v.To, func(o *Node) { o.toTraffic(event.SubRepliesReceived{From: n.VM, Replies: v.Replies}) })
	case effect.SendCancels:
		n.c.toNode(n, v.To, func(o *Node) { o.toTraffic(event.CancelsReceived{Entry: n.VM, Cancels: v.Cancels}) })
	case effect.StartAttempt:
		n.attempt(v)
	case effect.CancelAttempt:
		if cancel := n.running[v.Attempt]; cancel != nil {
			cancel()
		}
	case effect.ReplyCaller:
		if done := n.queries[v.Query]; done != nil {
			delete(n.queries, v.Query)
			done(v)
		}
	case effect.ReportOutcomes:
		n.controlLater(event.MoveOutcomes{Evidence: v.Evidence})
	case effect.ReportDrained:
		n.controlLater(v.Drained)
	case effect.WakeAt:
		n.wakeAt(v.At)
	case effect.Log:
		n.c.log(n, v)
	case effect.Count:
		n.c.Counts[v.Name] += v.Add
	}
}

func (n *Node) sendRequests(v effect.SendSubRequests) {
	o := n.c.node(v.To)
	if o == nil || o.dead {
		n.c.Sched.After(n.c.Links.delay(), func() {
			n.deliver(func() { n.toTraffic(event.SendFailed{To: v.To, Requests: v.Requests}) })
		})
		return
	}
	n.c.toNode(n, v.To, func(o *Node) { o.toTraffic(event.SubRequestsReceived{Requests: v.Requests}) })
}

func (n *Node) wakeAt(at model.Time) {
	n.wakeSeq++
	seq := n.wakeSeq
	if at == model.Never {
		return
	}
	n.c.Sched.At(n.born+time.Duration(at), func() {
		n.deliver(func() {
			if seq == n.wakeSeq {
				n.toTraffic(event.Wake{})
			}
		})
	})
}

// attempt sends an attempt over the network to its backend server and back.
func (n *Node) attempt(v effect.StartAttempt) {
	n.c.Attempts++
	if v.Hedge {
		n.c.Hedges++
	}
	if n.c.OnAttempt != nil {
		n.c.OnAttempt(n, &v)
	}
	s := n.c.Servers[v.Server.ID]
	if s == nil {
		n.c.Sched.After(n.c.Links.delay(), func() { n.attemptDone(v.Attempt, model.AttemptResult{Outcome: model.OutcomeRefusedConnection}) })
		return
	}
	cancelled := false
	dispatched := n.c.Sched.Now()
	n.running[v.Attempt] = func() { cancelled = true }
	n.c.Sched.After(n.c.Links.delay(), func() {
		if cancelled {
			n.attemptDone(v.Attempt, model.AttemptResult{Outcome: model.OutcomeCancelled})
			return
		}
		cancel := s.start(&v, dispatched, func(r model.AttemptResult) {
			delay := n.c.Links.delay()
			s.warn(n.c.Sched.Now() + delay)
			n.c.Sched.After(delay, func() { n.attemptDone(v.Attempt, r) })
		})
		n.running[v.Attempt] = cancel
	})
}

func (n *Node) attemptDone(id model.AttemptID, r model.AttemptResult) {
	n.deliver(func() {
		delete(n.running, id)
		n.toTraffic(event.AttemptDone{Attempt: id, Result: r})
	})
}

// Request sends a request to this node as a caller would. done is called once, with the
// time that the answer took; it is not called if the node dies.
func (n *Node) Request(r model.Request, done func(effect.ReplyCaller, time.Duration)) {
	n.lastID++
	r.Query = model.QueryID(n.lastID)
	began := n.c.Sched.Now()
	n.queries[r.Query] = func(reply effect.ReplyCaller) { done(reply, n.c.Sched.Now()-began) }
	n.deliver(func() { n.toTraffic(event.RequestReceived{Request: r}) })
}

// Command sends an operator's command to this node.
func (n *Node) Command(body event.Command, done func(effect.CommandResult)) {
	n.c.lastCommand++
	id := n.c.lastCommand
	n.command[id] = done
	n.deliver(func() { n.toControl(event.OperatorCommand{Command: id, By: "operator", Body: body}) })
}

// Control returns the control state, to be read only.
func (n *Node) Control() *core.Control { return n.control.Control }

// Now returns the node's own time.
func (n *Node) Now() model.Time { return n.now() }
