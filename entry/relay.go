package entry

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/internal/deadline"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

// relayHandler passes events from the relay to the control goroutine.
type relayHandler struct{ t *Tier }

func (h relayHandler) enqueue(ev directory.Event) {
	select {
	case h.t.controlEvents <- ev:
	case <-h.t.done:
	}
}

// UpstreamStatusReceived implements relay.Handler.
func (h relayHandler) UpstreamStatusReceived(ev directory.UpstreamStatusReceived) { h.enqueue(ev) }

// FollowEnded implements relay.Handler.
func (h relayHandler) FollowEnded(ev directory.FollowEnded) { h.enqueue(ev) }

// FollowerJoined implements relay.Handler.
func (h relayHandler) FollowerJoined(ev directory.FollowerJoined) { h.enqueue(ev) }

// FollowerLeft implements relay.Handler.
func (h relayHandler) FollowerLeft(ev directory.FollowerLeft) { h.enqueue(ev) }

// FollowerHeard implements relay.Handler.
func (h relayHandler) FollowerHeard(ev directory.FollowerHeard) { h.enqueue(ev) }

// FollowerEvidenceReceived implements relay.Handler.
func (h relayHandler) FollowerEvidenceReceived(ev directory.FollowerEvidenceReceived) { h.enqueue(ev) }

// FollowerLoadsReceived implements relay.Handler.
func (h relayHandler) FollowerLoadsReceived(ev directory.FollowerLoadsReceived) { h.enqueue(ev) }

// ServePeers serves other VMs on lis until ctx ends: followers of this VM, and VMs that forward
// queries to it.
func (t *Tier) ServePeers(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := relaypb.DRPCRegisterRelay(mux, t.relay); err != nil {
		return eris.Wrap(err, "register the relay service")
	}
	if err := forwardpb.DRPCRegisterForward(mux, t.forward); err != nil {
		return eris.Wrap(err, "register the forward service")
	}
	err := drpcserver.New(mux).Serve(ctx, deadline.Listener{Listener: lis, Timeout: peerWriteTimeout})
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve other VMs")
}

// peerWriteTimeout bounds a write to another VM. It closes the connection to a VM that has stopped
// reading.
const peerWriteTimeout = 2 * time.Second

// KnownPosition implements relay.Handler.
func (h relayHandler) KnownPosition(kind directory.Kind) model.Position {
	if known := h.t.knownPositions[kind].Load(); known != nil {
		return *known
	}
	return model.Position{}
}
