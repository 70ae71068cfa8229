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
	cluster   *Cluster
	VM        model.VM
	Zone      model.AvailabilityZone
	startedAt time.Duration
	config    core.Config
	control   *core.State
	traffic   *core.State
	View      *model.View

	crashed  bool
	frozen   bool
	heldBack []func() // deliveries that arrived while the node was frozen
	leaving  bool
	Left     bool

	watch     *watch
	wakeSeq   int
	cancels   map[model.AttemptID]func()
	queries   map[model.QueryID]func(effect.ReplyCaller)
	lastQuery uint64
	commands  map[uint64]func(effect.CommandResult)

	controlTrace *trace.Recorder
	trafficTrace *trace.Recorder

	Events         int
	HeartbeatBytes int // total encoded size of the heartbeats sent
	HeartbeatsSent int
}

func (n *Node) now() model.Time { return model.Time(n.cluster.Sched.Now() - n.startedAt) }

// deliver runs f on the node. While the node is frozen, f is held back until Thaw.
func (n *Node) deliver(f func()) {
	if n.crashed {
		return
	}
	if n.frozen {
		n.heldBack = append(n.heldBack, f)
		return
	}
	f()
}

// RecordControl starts recording the control role. Call it before the node handles its first event.
func (n *Node) RecordControl(w io.Writer, name, outcome string) *trace.Recorder {
	n.controlTrace = trace.NewRecorder(w, trace.Header{
		Name: name, Outcome: outcome, Role: trace.RoleControl, Config: n.config,
	})
	return n.controlTrace
}

// RecordTraffic starts recording the traffic role. Call it before the node handles its first event.
func (n *Node) RecordTraffic(w io.Writer, name, outcome string) *trace.Recorder {
	n.trafficTrace = trace.NewRecorder(w, trace.Header{
		Name: name, Outcome: outcome, Role: trace.RoleTraffic, Config: n.config,
	})
	return n.trafficTrace
}

// Freeze suspends the node like a paused VM: messages and ticks are not handled until Thaw.
func (n *Node) Freeze() { n.frozen = true }

// Thaw resumes a frozen node. Everything held back is delivered at once.
func (n *Node) Thaw() {
	n.frozen = false
	held := n.heldBack
	n.heldBack = nil
	for _, f := range held {
		f()
	}
}

// Crash stops the node like a VM that fails: its peers get no notification.
func (n *Node) Crash() {
	n.crashed = true
	n.cluster.Store.stopWatch(n.watch)
	for _, id := range sortedKeys(n.cancels) {
		n.cancels[id]() // the backend servers see the connections close
	}
}

// Kill stops the node like a killed process: its peers see their connections close.
func (n *Node) Kill() {
	n.Crash()
	for _, o := range n.cluster.Nodes {
		if o != n {
			n.cluster.Links.send(n.VM, o.VM, func() { o.deliver(func() { o.toTraffic(event.PeerLost{VM: n.VM}) }) })
		}
	}
}

// IsRunning reports whether the node has not crashed. A frozen node counts as running.
func (n *Node) IsRunning() bool { return !n.crashed }

// Leave starts a graceful leave.
func (n *Node) Leave() {
	n.leaving = true
	n.deliver(func() { n.toControl(event.LeaveRequested{}) })
}

func (n *Node) tick() {
	if n.crashed {
		return
	}
	n.cluster.Sched.After(core.DefaultTickInterval, n.tick)
	if n.frozen {
		return
	}
	n.toControl(event.Tick{Wall: n.cluster.Wall()})
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
	if n.cluster.AfterEvent != nil {
		n.cluster.AfterEvent(n)
	}
}

func (n *Node) enqueueControl(ev event.Event) {
	n.cluster.Sched.After(0, func() { n.deliver(func() { n.toControl(ev) }) })
}

func (n *Node) performControl(e effect.Effect) {
	switch v := e.(type) {
	case effect.SendHeartbeat:
		n.sendHeartbeat(v)
	case effect.SendRelease:
		n.cluster.sendToNode(n, v.To, func(o *Node) { o.toControl(event.ReleaseReceived{Release: v.Release}) })
	case effect.PullObjects:
		n.pullObjects(v)
	case effect.WatchStore:
		n.cluster.Store.stopWatch(n.watch)
		n.watch = n.cluster.Store.startWatch(v.Since, n.enqueueControl)
	case effect.StopWatch:
		n.cluster.Store.stopWatch(n.watch)
		n.watch = nil
	case effect.WriteObject:
		n.cluster.Store.put(v.Object, v.IfVersion, func(o event.WriteOutcome, obj model.Object) {
			n.enqueueControl(event.WriteDone{Write: v.Write, Outcome: o, Object: obj})
		})
	case effect.ReadObject:
		n.cluster.Store.read(v.Key, n.enqueueControl)
	case effect.ReplyOperator:
		if done := n.commands[v.Command]; done != nil {
			delete(n.commands, v.Command)
			done(v.Result)
		}
	case effect.PublishView:
		n.View = v.View
		n.cluster.Sched.After(0, func() { n.deliver(func() { n.toTraffic(event.ViewPublished{View: v.View}) }) })
	case effect.DrainKey:
		n.cluster.Sched.After(0, func() { n.deliver(func() { n.toTraffic(event.DrainKey{Key: v.Key, Term: v.Term}) }) })
	case effect.Left:
		n.Left = true
	case effect.Log:
		n.cluster.log(n, v)
	}
}

func (n *Node) sendHeartbeat(v effect.SendHeartbeat) {
	n.HeartbeatsSent++
	if n.cluster.HeartbeatSize != nil {
		n.HeartbeatBytes += n.cluster.HeartbeatSize(&v.Heartbeat)
	}
	if n.cluster.Links.Loss > 0 && n.cluster.Sched.Rand.Float64() < n.cluster.Links.Loss {
		return
	}
	n.cluster.sendToNode(n, v.To, func(o *Node) { o.toControl(event.HeartbeatReceived{Heartbeat: v.Heartbeat}) })
}

func (n *Node) pullObjects(v effect.PullObjects) {
	o := n.cluster.node(v.Peer)
	failed := func() {
		n.cluster.Sched.After(callTimeout, func() { n.deliver(func() { n.toControl(event.PullFailed{Peer: v.Peer}) }) })
	}
	if o == nil || o.crashed || o.frozen {
		failed()
		return
	}
	sent := n.cluster.Links.send(n.VM, o.VM, func() {
		o.deliver(func() {
			objects, revision := o.control.Control.ObjectsSince(v.Since)
			if !n.cluster.Links.send(o.VM, n.VM, func() {
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
		n.cluster.sendToNode(n, v.To, func(o *Node) { o.toTraffic(event.SubRepliesReceived{From: n.VM, Replies: v.Replies}) })
	case effect.SendCancels:
		n.cluster.sendToNode(n, v.To, func(o *Node) { o.toTraffic(event.CancelsReceived{Entry: n.VM, Cancels: v.Cancels}) })
	case effect.StartAttempt:
		n.sendAttempt(v)
	case effect.CancelAttempt:
		if cancel := n.cancels[v.Attempt]; cancel != nil {
			cancel()
		}
	case effect.ReplyCaller:
		if done := n.queries[v.Query]; done != nil {
			delete(n.queries, v.Query)
			done(v)
		}
	case effect.ReportOutcomes:
		n.enqueueControl(event.MoveOutcomes{Evidence: v.Evidence})
	case effect.ReportDrained:
		n.enqueueControl(v.Drained)
	case effect.WakeAt:
		n.wakeAt(v.At)
	case effect.Log:
		n.cluster.log(n, v)
	case effect.Count:
		n.cluster.Counts[v.Name] += v.Add
	}
}

func (n *Node) sendRequests(v effect.SendSubRequests) {
	o := n.cluster.node(v.To)
	if o == nil || o.crashed {
		n.cluster.Sched.After(n.cluster.Links.delay(), func() {
			n.deliver(func() { n.toTraffic(event.SendFailed{To: v.To, Requests: v.Requests}) })
		})
		return
	}
	n.cluster.sendToNode(n, v.To, func(o *Node) { o.toTraffic(event.SubRequestsReceived{Requests: v.Requests}) })
}

func (n *Node) wakeAt(at model.Time) {
	n.wakeSeq++
	seq := n.wakeSeq
	if at == model.Never {
		return
	}
	n.cluster.Sched.At(n.startedAt+time.Duration(at), func() {
		n.deliver(func() {
			if seq == n.wakeSeq {
				n.toTraffic(event.Wake{})
			}
		})
	})
}

// sendAttempt simulates an attempt: the request to the backend server and the result on its way back.
func (n *Node) sendAttempt(v effect.StartAttempt) {
	n.cluster.Attempts++
	if v.Hedge {
		n.cluster.Hedges++
	}
	if n.cluster.OnAttempt != nil {
		n.cluster.OnAttempt(n, &v)
	}
	s := n.cluster.Servers[v.Server.ID]
	if s == nil {
		n.cluster.Sched.After(n.cluster.Links.delay(), func() { n.attemptDone(v.Attempt, model.AttemptResult{Outcome: model.OutcomeRefusedConnection}) })
		return
	}
	cancelled := false
	dispatched := n.cluster.Sched.Now()
	n.cancels[v.Attempt] = func() { cancelled = true }
	n.cluster.Sched.After(n.cluster.Links.delay(), func() {
		if cancelled {
			n.attemptDone(v.Attempt, model.AttemptResult{Outcome: model.OutcomeCancelled})
			return
		}
		cancel := s.startAttempt(&v, dispatched, func(r model.AttemptResult) {
			delay := n.cluster.Links.delay()
			s.noteReplyArrival(n.cluster.Sched.Now() + delay)
			n.cluster.Sched.After(delay, func() { n.attemptDone(v.Attempt, r) })
		})
		n.cancels[v.Attempt] = cancel
	})
}

func (n *Node) attemptDone(id model.AttemptID, r model.AttemptResult) {
	n.deliver(func() {
		delete(n.cancels, id)
		n.toTraffic(event.AttemptDone{Attempt: id, Result: r})
	})
}

// Request sends a request to this node as a caller would. done is called once, with the reply and
// the time until it arrived. It is not called if the node crashes.
func (n *Node) Request(r model.Request, done func(effect.ReplyCaller, time.Duration)) {
	n.lastQuery++
	r.Query = model.QueryID(n.lastQuery)
	sentAt := n.cluster.Sched.Now()
	n.queries[r.Query] = func(reply effect.ReplyCaller) { done(reply, n.cluster.Sched.Now()-sentAt) }
	n.deliver(func() { n.toTraffic(event.RequestReceived{Request: r}) })
}

// Command sends an operator's command to this node. done is called with the result.
func (n *Node) Command(body event.Command, done func(effect.CommandResult)) {
	n.cluster.lastCommand++
	id := n.cluster.lastCommand
	n.commands[id] = done
	n.deliver(func() { n.toControl(event.OperatorCommand{Command: id, By: "operator", Body: body}) })
}

// Control returns the control state, which must not be changed.
func (n *Node) Control() *core.Control { return n.control.Control }

// Now returns the virtual time since the node was started.
func (n *Node) Now() model.Time { return n.now() }
