package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

// queuedHeartbeat is a heartbeat that waits to be sent to the given peer address.
type queuedHeartbeat struct {
	address   string
	heartbeat event.Heartbeat
}

// heartbeatSender sends heartbeats to one peer, one at a time. Each peer has its own sender,
// so that a peer that does not answer does not delay the heartbeats to other peers.
type heartbeatSender struct {
	network *Network
	next    chan queuedHeartbeat // capacity 1: the newest heartbeat not sent yet
	conn    *drpcconn.Conn
	address string
}

// replaceNext queues a heartbeat in place of one that still waits.
func (b *heartbeatSender) replaceNext(v queuedHeartbeat) {
	select {
	case <-b.next:
	default:
	}
	select {
	case b.next <- v:
	default:
	}
}

func (b *heartbeatSender) run() {
	defer b.network.wg.Done()
	defer b.disconnect()
	for {
		select {
		case v, ok := <-b.next:
			if !ok {
				return
			}
			b.send(v)
		case <-b.network.ctx.Done():
			return
		}
	}
}

func (b *heartbeatSender) send(v queuedHeartbeat) {
	if b.address != v.address {
		b.disconnect()
	}
	if b.conn == nil {
		conn, err := b.network.dial(b.network.ctx, v.address)
		if err != nil {
			return
		}
		b.conn, b.address = conn, v.address
	}
	ctx, cancel := context.WithTimeout(b.network.ctx, heartbeatTimeout)
	defer cancel()
	if _, err := peerpb.NewDRPCPeerClient(b.conn).Beat(ctx, HeartbeatToPB(&v.heartbeat)); err != nil {
		b.disconnect()
	}
}

func (b *heartbeatSender) disconnect() {
	if b.conn != nil {
		_ = b.conn.Close()
		b.conn = nil
	}
}
