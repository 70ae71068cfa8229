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
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

// relayHandler hands what the relay brings to the control goroutine.
type relayHandler struct{ t *Tier }

func (h relayHandler) put(ev directory.Event) {
	select {
	case h.t.reads <- ev:
	case <-h.t.done:
	}
}

// Heard implements relay.Handler.
func (h relayHandler) Heard(ev directory.UpstreamStatusReceived) { h.put(ev) }

// FollowEnded implements relay.Handler.
func (h relayHandler) FollowEnded(ev directory.FollowEnded) { h.put(ev) }

// FollowerJoined implements relay.Handler.
func (h relayHandler) FollowerJoined(ev directory.FollowerJoined) { h.put(ev) }

// FollowerLeft implements relay.Handler.
func (h relayHandler) FollowerLeft(ev directory.FollowerLeft) { h.put(ev) }

// FollowerSaid implements relay.Handler.
func (h relayHandler) FollowerSaid(ev directory.FollowerEvidenceReceived) { h.put(ev) }

// ServePeers serves other VMs until ctx ends: those that follow this one, and those that hand
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

// peerWriteTimeout ends the connection to a VM that does not read.
const peerWriteTimeout = 2 * time.Second

// Known implements relay.Handler.
func (h relayHandler) Known(kind directory.Kind) uint64 { return h.t.known[kind].Load() }
