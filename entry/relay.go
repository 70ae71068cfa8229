package entry

import (
	"context"
	"net"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
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
func (h relayHandler) Heard(ev directory.Heard) { h.put(ev) }

// FollowEnded implements relay.Handler.
func (h relayHandler) FollowEnded(ev directory.FollowEnded) { h.put(ev) }

// FollowerJoined implements relay.Handler.
func (h relayHandler) FollowerJoined(ev directory.FollowerJoined) { h.put(ev) }

// FollowerLeft implements relay.Handler.
func (h relayHandler) FollowerLeft(ev directory.FollowerLeft) { h.put(ev) }

// ServePeers lets other VMs follow this one until ctx ends.
func (t *Tier) ServePeers(ctx context.Context, lis net.Listener) error {
	return t.relay.Serve(ctx, lis)
}

// Known implements relay.Handler.
func (h relayHandler) Known(kind directory.Kind) uint64 { return h.t.known[kind].Load() }
