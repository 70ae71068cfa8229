package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
)

type beat struct {
	address string
	hb      event.Heartbeat
}

// beater sends heartbeats to one peer, one at a time, so that a peer that hangs delays
// nobody else.
type beater struct {
	n       *Network
	next    chan beat // holds at most the newest heartbeat
	conn    *drpcconn.Conn
	address string
}

func (b *beater) put(v beat) {
	select {
	case <-b.next:
	default:
	}
	select {
	case b.next <- v:
	default:
	}
}

func (b *beater) run() {
	defer b.n.wg.Done()
	defer b.disconnect()
	for {
		select {
		case v, ok := <-b.next:
			if !ok {
				return
			}
			b.send(v)
		case <-b.n.ctx.Done():
			return
		}
	}
}

func (b *beater) send(v beat) {
	if b.address != v.address {
		b.disconnect()
	}
	if b.conn == nil {
		conn, err := b.n.dial(b.n.ctx, v.address)
		if err != nil {
			return
		}
		b.conn, b.address = conn, v.address
	}
	ctx, cancel := context.WithTimeout(b.n.ctx, beatTimeout)
	defer cancel()
	if _, err := peerpb.NewDRPCPeerClient(b.conn).Beat(ctx, HeartbeatToPB(&v.hb)); err != nil {
		b.disconnect()
	}
}

func (b *beater) disconnect() {
	if b.conn != nil {
		_ = b.conn.Close()
		b.conn = nil
	}
}
