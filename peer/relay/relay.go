// Package relay carries configuration and control state from the VMs that read the store to the
// other entry VMs, and evidence about rollouts in the other direction. It uses protobuf over drpc,
// with one long-lived stream between an upstream and each of its followers.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/internal/deadline"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

const (
	// maxMessage is the maximum size of one message in bytes. A kind can have thousands of
	// objects, and the configuration up to 1 MB.
	maxMessage   = 64 << 20
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxQueued bounds the messages queued for one follower. Beyond it the stream is closed,
	// and the follower has to open a new one.
	maxQueued = 256
)

// Handler processes the messages of upstreams and followers, and changes of the followers. Its
// methods must not block for long.
type Handler interface {
	// UpstreamStatusReceived processes a message of an upstream.
	UpstreamStatusReceived(directory.UpstreamStatusReceived)
	// FollowEnded reports the end of the stream from an upstream.
	FollowEnded(directory.FollowEnded)
	// FollowerJoined reports a new follower, and FollowerLeft the end of its stream.
	FollowerJoined(directory.FollowerJoined)
	FollowerLeft(directory.FollowerLeft)
	// FollowerHeard processes a message of a follower that only shows that it runs.
	FollowerHeard(directory.FollowerHeard)
	// FollowerEvidenceReceived processes the evidence of a follower.
	FollowerEvidenceReceived(directory.FollowerEvidenceReceived)
	// FollowerLoadsReceived processes the loads of a follower.
	FollowerLoadsReceived(directory.FollowerLoadsReceived)
	// KnownPosition returns the position up to which this VM has the objects of a kind, so that older
	// updates need not be decoded. It may be called from any goroutine.
	KnownPosition(directory.Kind) model.Position
}

// DecodeFunc decodes an object from the data that the store sent.
type DecodeFunc func(kind directory.Kind, data []byte) directory.Change

// Network holds the streams from upstreams and to followers. It implements
// relaypb.DRPCRelayServer.
type Network struct {
	self    model.VM
	handler Handler
	decode  DecodeFunc

	mu           sync.Mutex
	upstreams    map[model.VM]*upstream
	followers    map[uint64]*follower // by ID
	lastFollower uint64               // the follower ID assigned last
	leaving      bool
}

// upstream is the stream from an upstream VM.
type upstream struct {
	cancel context.CancelFunc
	// These have capacity 1 and hold the newest message that has not been sent yet.
	evidence, loads, heartbeat chan *relaypb.FollowRequest
}

// follower is the queue of messages for one follower.
type follower struct {
	queue      chan *relaypb.Update
	overflowed chan struct{} // closed when a message did not fit into queue
	once       sync.Once
}

// New returns a network without streams.
func New(self model.VM, handler Handler, decode DecodeFunc) *Network {
	return &Network{
		self:      self,
		handler:   handler,
		decode:    decode,
		upstreams: make(map[model.VM]*upstream),
		followers: make(map[uint64]*follower),
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// StartFollowing opens a stream from an upstream and closes the previous one from that VM. It does not block.
// Handler.FollowEnded reports the end of the stream unless ctx has ended or this Network has closed
// the stream. Network closes it in StopFollowing, in a later StartFollowing for vm, and after a failure to send evidence.
func (n *Network) StartFollowing(ctx context.Context, vm model.VM, address string) {
	ctx, cancel := context.WithCancel(ctx)
	u := &upstream{
		cancel: cancel, evidence: make(chan *relaypb.FollowRequest, 1), loads: make(chan *relaypb.FollowRequest, 1),
		heartbeat: make(chan *relaypb.FollowRequest, 1),
	}
	n.mu.Lock()
	if old, ok := n.upstreams[vm]; ok {
		old.cancel()
	}
	n.upstreams[vm] = u
	n.mu.Unlock()
	go func() {
		err := n.receiveUpdates(ctx, vm, address, u)
		if ctx.Err() == nil {
			n.handler.FollowEnded(directory.FollowEnded{From: vm, Cause: err.Error()})
		}
		cancel()
	}()
}

// StopFollowing closes the stream from an upstream.
func (n *Network) StopFollowing(vm model.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if u, ok := n.upstreams[vm]; ok {
		u.cancel()
		delete(n.upstreams, vm)
	}
}

// SendEvidence queues the evidence of this VM for all upstreams and replaces queued evidence that has
// not been sent yet. It does not block.
func (n *Network) SendEvidence(e directory.SendEvidence) {
	m := &relaypb.FollowRequest{Vm: string(n.self), Evidence: encodeEvidence(e.Evidence), Usage: encodeUsage(e.Usage)}
	n.queueReport(m, func(u *upstream) chan *relaypb.FollowRequest { return u.evidence })
}

// SendHeartbeat queues a sign of life of this VM for all upstreams. It does not block.
func (n *Network) SendHeartbeat() {
	m := &relaypb.FollowRequest{Vm: string(n.self)}
	n.queueReport(m, func(u *upstream) chan *relaypb.FollowRequest { return u.heartbeat })
}

// queueReport puts a message for each upstream into one of its queues, in place of the one that is in it.
func (n *Network) queueReport(m *relaypb.FollowRequest, queueOf func(*upstream) chan *relaypb.FollowRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, u := range n.upstreams {
		replaceQueued(queueOf(u), m)
	}
}

// AnnounceLeave tells all followers that this VM is about to stop. New followers are refused from then on.
func (n *Network) AnnounceLeave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	for _, f := range n.followers {
		f.enqueue(&relaypb.Update{Leaving: true})
	}
}

// SendUpdate queues a message for the follower e.Follower, or for all followers if that is 0.
func (n *Network) SendUpdate(e directory.SendUpdate) error {
	m, err := encodeUpdate(e)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Follower != 0 {
		if f, ok := n.followers[e.Follower]; ok {
			f.enqueue(m)
		}
		return nil
	}
	for _, f := range n.followers {
		f.enqueue(m)
	}
	return nil
}

// enqueue queues a message. If the queue is full, it closes f.overflowed, which ends the stream.
func (f *follower) enqueue(m *relaypb.Update) {
	select {
	case f.queue <- m:
	default:
		f.once.Do(func() { close(f.overflowed) })
	}
}

// receiveUpdates opens the stream from an upstream and processes its messages until the stream ends.
func (n *Network) receiveUpdates(ctx context.Context, vm model.VM, address string, u *upstream) error {
	stream, closeConn, err := n.openStream(ctx, vm, address, &relaypb.FollowRequest{Vm: string(n.self)})
	if err != nil {
		return err
	}
	defer closeConn()
	go sendReports(stream, u)
	for {
		m, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "receive from VM %s", vm)
		}
		status, err := n.decodeUpdate(vm, m)
		if err != nil {
			return err
		}
		n.handler.UpstreamStatusReceived(status)
	}
}

// openStream connects to a VM, opens a stream and sends its first message. The function that it returns
// closes the connection.
func (n *Network) openStream(ctx context.Context, vm model.VM, address string, first *relaypb.FollowRequest) (relaypb.DRPCRelay_FollowClient, func(), error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "dial VM %s", vm)
	}
	conn := drpcconn.NewWithOptions(deadline.Conn{Conn: raw, Timeout: writeTimeout}, drpcconn.Options{Manager: managerOptions()})
	closeConn := func() { _ = conn.Close() } // the stream has ended, so that the error is of no use
	stream, err := relaypb.NewDRPCRelayClient(conn).Follow(ctx)
	if err == nil {
		err = stream.Send(first)
	}
	if err != nil {
		closeConn()
		return nil, nil, eris.Wrapf(err, "open a stream to VM %s", vm)
	}
	return stream, closeConn, nil
}

// Check asks a VM whether it runs, and returns an error unless it answers before ctx ends.
func (n *Network) Check(ctx context.Context, vm model.VM, address string) error {
	stream, closeConn, err := n.openStream(ctx, vm, address, &relaypb.FollowRequest{Vm: string(n.self), Check: true})
	if err != nil {
		return err
	}
	defer closeConn()
	_, err = stream.Recv()
	return eris.Wrapf(err, "check VM %s", vm)
}

// sendReports sends the messages of this VM to an upstream until the stream ends. If it cannot send, it ends
// the stream.
func sendReports(stream relaypb.DRPCRelay_FollowClient, u *upstream) {
	for {
		var m *relaypb.FollowRequest
		select {
		case m = <-u.evidence:
		case m = <-u.loads:
		case m = <-u.heartbeat:
		case <-stream.Context().Done():
			return
		}
		if err := stream.Send(m); err != nil {
			u.cancel()
			return
		}
	}
}

// receiveReports passes the messages of a follower to the handler until the stream ends.
// Follow reports the end.
func (n *Network) receiveReports(stream relaypb.DRPCRelay_FollowStream) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		hasEvidence := len(m.GetEvidence())+len(m.GetUsage()) > 0
		if !hasEvidence && !m.GetLoadsTold() {
			n.handler.FollowerHeard(directory.FollowerHeard{VM: model.VM(m.GetVm())})
		}
		if hasEvidence {
			n.handler.FollowerEvidenceReceived(directory.FollowerEvidenceReceived{Evidence: decodeEvidence(m), Usage: decodeUsage(m)})
		}
		if m.GetLoadsTold() {
			n.handler.FollowerLoadsReceived(directory.FollowerLoadsReceived{
				VM: model.VM(m.GetVm()), Loads: decodeLoads(m.GetLoads()), Limited: m.GetLimited(),
			})
		}
	}
}

// Follow implements relaypb.DRPCRelayServer. It streams updates to a follower.
func (n *Network) Follow(stream relaypb.DRPCRelay_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "first message of a follower")
	}
	if first.GetCheck() {
		return eris.Wrap(stream.Send(&relaypb.Update{}), "answer a check")
	}
	id, f := n.addFollower()
	if f == nil {
		return eris.New("the VM is about to stop")
	}
	defer n.removeFollower(id)
	n.handler.FollowerJoined(directory.FollowerJoined{Follower: id})
	n.handler.FollowerHeard(directory.FollowerHeard{VM: model.VM(first.GetVm())})
	go n.receiveReports(stream)
	for {
		select {
		case m := <-f.queue:
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-f.overflowed:
			return eris.New("the follower is too slow")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// addFollower registers a follower under a new ID. It returns nil if this VM is about to stop.
func (n *Network) addFollower() (uint64, *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return 0, nil
	}
	n.lastFollower++
	f := &follower{queue: make(chan *relaypb.Update, maxQueued), overflowed: make(chan struct{})}
	n.followers[n.lastFollower] = f
	return n.lastFollower, f
}

func (n *Network) removeFollower(id uint64) {
	n.mu.Lock()
	delete(n.followers, id)
	n.mu.Unlock()
	n.handler.FollowerLeft(directory.FollowerLeft{Follower: id})
}

// decodeUpdate decodes a message of an upstream. It omits an update of an unknown kind, and one
// that is not newer than the objects that this VM has.
func (n *Network) decodeUpdate(from model.VM, m *relaypb.Update) (directory.UpstreamStatusReceived, error) {
	status := directory.UpstreamStatusReceived{From: from, Era: m.GetKnownEra(), Leaving: m.GetLeaving(), Ages: decodeAges(m.GetAgesMicros()), Rollouts: decodeRollouts(m.GetOrders()),
		Loads: decodeLoads(m.GetLoads()), LoadsWanted: m.GetLoadsWanted()}
	if m.GetRevision() == 0 || m.GetKind() >= uint32(directory.KindCount) {
		return status, nil
	}
	kind := directory.Kind(m.GetKind())
	position := model.Position{Era: m.GetEra(), Revision: m.GetRevision()}
	if !n.isNewer(kind, position) {
		return status, nil
	}
	objects, err := decodeObjects(m.GetObjects(), m.GetPacked())
	if err != nil {
		return status, eris.Wrapf(err, "objects of kind %s from VM %s", kind, from)
	}
	status.Update = &directory.Update{Kind: kind, Full: m.GetFull(), Position: position, Since: model.Position{Era: m.GetEra(), Revision: m.GetSince()}}
	for _, o := range objects {
		c := directory.Change{Name: o.GetName(), Removed: true}
		if !o.GetRemoved() {
			c = n.decode(kind, o.GetData())
		}
		c.Position = model.Position{Era: o.GetEra(), Revision: o.GetRevision()}
		status.Update.Changes = append(status.Update.Changes, c)
	}
	return status, nil
}

// isNewer reports whether an update up to a position may bring something new. A sender of an earlier build
// states no era.
func (n *Network) isNewer(kind directory.Kind, position model.Position) bool {
	known := n.handler.KnownPosition(kind)
	if position.Era == 0 {
		position.Era = known.Era
	}
	return known.Before(position)
}
