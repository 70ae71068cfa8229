package gooseberrylock

import (
	"context"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// peerHandler implements peer.Handler. It passes the messages of other daemons to the control loop
// and the workers.
type peerHandler Daemon

func (h *peerHandler) daemon() *Daemon { return (*Daemon)(h) }

// Heartbeat implements peer.Handler.
func (h *peerHandler) Heartbeat(hb event.Heartbeat) {
	h.control.enqueue(event.HeartbeatReceived{Heartbeat: hb})
}

// Release implements peer.Handler.
func (h *peerHandler) Release(r event.Release) { h.control.enqueue(event.ReleaseReceived{Release: r}) }

// SubRequests implements peer.Handler.
func (h *peerHandler) SubRequests(_ model.VM, r []model.SubRequest) { h.daemon().routeSubRequests(r) }

// SubReplies implements peer.Handler.
func (h *peerHandler) SubReplies(from model.VM, r []model.SubReply) {
	h.daemon().routeSubReplies(from, r)
}

// Cancels implements peer.Handler.
func (h *peerHandler) Cancels(from model.VM, c []event.Cancel) { h.daemon().routeCancels(from, c) }

// PeerLost implements peer.Handler.
func (h *peerHandler) PeerLost(vm model.VM, connection event.Connection) {
	h.log.Warn().Str("step", "exchange traffic").Str("peer", string(vm)).Msg("connection to peer lost")
	if connection != event.ConnectionOut {
		h.tracing.endSubRequestsFrom(vm)
	}
	for _, w := range h.workers {
		if connection != event.ConnectionIn {
			w.pendingLosses.add(vm, 1)
		}
		w.enqueue(event.PeerLost{VM: vm, Connection: connection})
	}
}

// SendFailed implements peer.Handler.
func (h *peerHandler) SendFailed(to model.VM, list []model.SubRequest) {
	splitByWorker(list, func(r *model.SubRequest) *worker { return h.daemon().workerOfQuery(r.Query) },
		func(w *worker, part []model.SubRequest) { w.enqueue(event.SendFailed{To: to, Requests: part}) })
}

// Objects implements peer.Handler.
func (h *peerHandler) Objects(ctx context.Context, since uint64) ([]model.Object, uint64, error) {
	var objects []model.Object
	var revision uint64
	err := h.control.inspect(ctx, func(c *core.Control) { objects, revision = c.ObjectsSince(since) })
	return objects, revision, err
}
