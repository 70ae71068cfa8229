// Package peer carries messages between the daemons of a deployment, as protobuf over drpc.
// Heartbeats and traffic use long-lived TCP connections; each release and each pull opens its own.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/deadline"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
	"github.com/gooseberrylock/gooseberrylock/store"
)

const (
	// maxMessage is the maximum size of one message in bytes. The response to a pull can carry
	// many templates of up to 1 MB each.
	maxMessage  = 256 << 20
	dialTimeout = time.Second
	// heartbeatTimeout bounds the wait for the confirmation of a heartbeat. The connection is
	// closed when it expires.
	heartbeatTimeout = 2 * time.Second
	callTimeout      = 5 * time.Second
	// writeTimeout bounds one write, so that the connection to a peer that does not read fails.
	writeTimeout = 2 * time.Second
)

// Handler processes the messages of peers and the loss of connections. All methods except
// Objects must return without blocking.
type Handler interface {
	Heartbeat(hb event.Heartbeat)
	Release(r event.Release)
	SubRequests(from model.VM, r []model.SubRequest)
	SubReplies(from model.VM, r []model.SubReply)
	Cancels(from model.VM, c []event.Cancel)
	// PeerLost reports that the given traffic connection with a peer broke.
	PeerLost(vm model.VM, connection event.Connection)
	// SendFailed reports sub-requests of which nothing was sent.
	SendFailed(to model.VM, r []model.SubRequest)
	// Objects returns the objects that changed after revision since, and the revision up to
	// which this list is complete. It serves the pulls of peers and may block.
	Objects(ctx context.Context, since uint64) ([]model.Object, uint64, error)
}

// Config configures a Network.
type Config struct {
	Self model.VM    // the VM of this daemon
	TLS  *tls.Config // nil for plain TCP
	// Unreadable is called for each object of a pull that this version cannot encode or
	// decode. It may be nil.
	Unreadable store.UnreadableFunc
}

// Network holds the connections with all peers. Its methods may be called from any goroutine.
type Network struct {
	cfg     Config
	handler Handler

	mu         sync.Mutex
	closed     bool
	traffic    map[model.VM]*stream // streams that this daemon opened, by owner
	accepted   map[model.VM]*stream // streams that entry daemons opened, by entry daemon
	heartbeats map[model.VM]*heartbeatSender
	wg         sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a network without connections. Call Close to release it.
func New(cfg Config, handler Handler) *Network {
	if cfg.Unreadable == nil {
		cfg.Unreadable = func(model.ObjectKey, uint64, error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		cfg:        cfg,
		handler:    handler,
		traffic:    make(map[model.VM]*stream),
		accepted:   make(map[model.VM]*stream),
		heartbeats: make(map[model.VM]*heartbeatSender),
		ctx:        ctx,
		cancel:     cancel,
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Serve accepts connections of peers on lis until Close, and then returns nil.
func (n *Network) Serve(lis net.Listener) error {
	lis = deadline.Listener{Listener: lis, Timeout: writeTimeout}
	if n.cfg.TLS != nil {
		lis = tls.NewListener(lis, n.cfg.TLS)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{n: n}); err != nil {
		return eris.Wrap(err, "register peer service")
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	err := srv.Serve(n.ctx, lis)
	if n.ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve peers")
}

// Close closes all connections and waits until the goroutines that use them have ended, except
// those of Serve.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

func (n *Network) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial peer at %s", address)
	}
	conn = deadline.Conn{Conn: conn, Timeout: writeTimeout}
	if n.cfg.TLS != nil {
		if conn, err = n.handshake(ctx, conn, address); err != nil {
			return nil, err
		}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// handshake runs the TLS handshake of a client. It closes conn on failure.
func (n *Network) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	cfg := n.cfg.TLS.Clone()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "address of peer %q", address)
	}
	cfg.ServerName = host
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "secure connection to peer at %s", address)
	}
	return secured, nil
}

// SendHeartbeat sends a heartbeat without blocking. While the peer has not confirmed a heartbeat, only
// the newest of the following ones is kept.
func (n *Network) SendHeartbeat(to model.VM, address string, hb event.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	s, ok := n.heartbeats[to]
	if !ok {
		s = &heartbeatSender{network: n, next: make(chan queuedHeartbeat, 1)}
		n.heartbeats[to] = s
		n.wg.Add(1)
		go s.run()
	}
	s.replaceNext(queuedHeartbeat{address: address, heartbeat: hb})
}

// CloseExcept closes the heartbeat and traffic connections that this daemon opened to peers that
// are not in keep.
func (n *Network) CloseExcept(keep map[model.VM]model.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm, s := range n.heartbeats {
		if _, ok := keep[vm]; !ok {
			close(s.next)
			delete(n.heartbeats, vm)
		}
	}
	for vm, s := range n.traffic {
		if _, ok := keep[vm]; !ok {
			s.stop()
		}
	}
}

// SendRelease sends a release to the next owner without blocking. Errors are ignored: without the
// release the next owner waits until the lease has expired.
func (n *Network) SendRelease(address string, r event.Release) {
	n.startCall(func(ctx context.Context) {
		conn, err := n.dial(ctx, address)
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = peerpb.NewDRPCPeerClient(conn).Hand(ctx, releaseToPB(&r))
	})
}

// Pull requests the objects of a peer that changed after revision since, without blocking. It
// then calls done with the readable objects and the revision up to which they are complete,
// or with an error. After Close it does nothing.
func (n *Network) Pull(address string, since uint64, done func([]model.Object, uint64, error)) {
	n.startCall(func(ctx context.Context) {
		done(n.pull(ctx, address, since))
	})
}

func (n *Network) pull(ctx context.Context, address string, since uint64) ([]model.Object, uint64, error) {
	conn, err := n.dial(ctx, address)
	if err != nil {
		return nil, 0, err
	}
	defer conn.Close()
	res, err := peerpb.NewDRPCPeerClient(conn).Pull(ctx, &peerpb.PullRequest{Since: since})
	if err != nil {
		return nil, 0, eris.Wrapf(err, "pull from peer at %s", address)
	}
	objects := make([]model.Object, 0, len(res.GetObjects()))
	for _, p := range res.GetObjects() {
		o, err := objectFromPB(p)
		if err != nil {
			n.cfg.Unreadable(o.Key, o.Version, eris.Wrapf(err, "pull from peer at %s", address))
			continue
		}
		objects = append(objects, o)
	}
	return objects, res.GetRevision(), nil
}

// startCall runs f in a new goroutine with a context that expires after callTimeout. It does nothing
// after Close.
func (n *Network) startCall(f func(ctx context.Context)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		defer cancel()
		f(ctx)
	}()
}

// server implements peerpb.DRPCPeerServer.
type server struct{ n *Network }

func (s *server) Beat(_ context.Context, p *peerpb.Heartbeat) (*peerpb.Empty, error) {
	s.n.handler.Heartbeat(HeartbeatFromPB(p))
	return &peerpb.Empty{}, nil
}

func (s *server) Hand(_ context.Context, p *peerpb.Release) (*peerpb.Empty, error) {
	s.n.handler.Release(releaseFromPB(p))
	return &peerpb.Empty{}, nil
}

func (s *server) Pull(ctx context.Context, p *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	objects, revision, err := s.n.handler.Objects(ctx, p.GetSince())
	if err != nil {
		return nil, err
	}
	res := &peerpb.PullResponse{Revision: revision}
	for i := range objects {
		o, err := objectToPB(&objects[i])
		if err != nil {
			s.n.cfg.Unreadable(objects[i].Key, objects[i].Version, err)
			continue
		}
		res.Objects = append(res.Objects, o)
	}
	return res, nil
}

// Traffic serves a traffic stream that an entry daemon opened. The first message names that
// daemon's VM.
func (s *server) Traffic(st peerpb.DRPCPeer_TrafficStream) error {
	first, err := st.Recv()
	if err != nil {
		return err
	}
	from := model.VM(first.GetFrom())
	if from == "" {
		return eris.New("traffic stream without a sender")
	}
	t := newStream(s.n, from)
	s.n.registerAccepted(from, t)
	defer s.n.removeAccepted(from, t)
	written := make(chan struct{})
	go func() {
		defer close(written)
		t.writeTo(st)
		_ = st.Close()
	}()
	defer func() {
		t.close()
		<-written
	}()
	for msg := first; !t.isClosed(); {
		s.n.deliver(from, msg)
		if msg, err = st.Recv(); err != nil {
			return nil
		}
	}
	return nil
}

// registerAccepted makes t the stream for replies to vm and closes the previous one, which
// belongs to an earlier process of vm or to a connection that vm no longer uses.
func (n *Network) registerAccepted(vm model.VM, t *stream) {
	n.mu.Lock()
	old := n.accepted[vm]
	n.accepted[vm] = t
	n.mu.Unlock()
	if old != nil {
		old.close()
		n.handler.PeerLost(vm, event.ConnectionIn)
	}
}

// removeAccepted removes t and reports the loss of the connection with vm, unless a newer stream
// has already replaced t.
func (n *Network) removeAccepted(vm model.VM, t *stream) {
	n.mu.Lock()
	current := n.accepted[vm] == t
	if current {
		delete(n.accepted, vm)
	}
	n.mu.Unlock()
	if current {
		n.handler.PeerLost(vm, event.ConnectionIn)
	}
}

// deliver passes the parts of a traffic message to the handler.
func (n *Network) deliver(from model.VM, msg *peerpb.TrafficMessage) {
	if p := msg.GetRequests(); len(p) > 0 {
		list := make([]model.SubRequest, 0, len(p))
		for _, r := range p {
			list = append(list, subRequestFromPB(r))
		}
		n.handler.SubRequests(from, list)
	}
	if p := msg.GetReplies(); len(p) > 0 {
		list := make([]model.SubReply, 0, len(p))
		for _, r := range p {
			list = append(list, subReplyFromPB(r))
		}
		n.handler.SubReplies(from, list)
	}
	if p := msg.GetCancels(); len(p) > 0 {
		list := make([]event.Cancel, 0, len(p))
		for _, c := range p {
			list = append(list, cancelFromPB(c))
		}
		n.handler.Cancels(from, list)
	}
}
