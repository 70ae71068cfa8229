// Package peer carries messages between the daemons of a deployment: protobuf over drpc
// on long-lived TCP connections.
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
	// maxMessage bounds one message in bytes; a pull can carry many templates of up to 1 MB.
	maxMessage  = 256 << 20
	dialTimeout = time.Second
	// beatTimeout ends the connection to a peer that does not confirm a heartbeat.
	beatTimeout = 2 * time.Second
	callTimeout = 5 * time.Second
	// writeTimeout ends the connection to a peer that does not read.
	writeTimeout = 2 * time.Second
)

// Handler receives what peers send. Its methods must not block.
type Handler interface {
	Heartbeat(hb event.Heartbeat)
	Release(r event.Release)
	SubRequests(from model.VM, r []model.SubRequest)
	SubReplies(from model.VM, r []model.SubReply)
	Cancels(from model.VM, c []event.Cancel)
	// PeerLost reports that a traffic connection with a peer broke.
	PeerLost(vm model.VM, which event.Connection)
	// SendFailed reports sub-requests that could not be sent at all.
	SendFailed(to model.VM, r []model.SubRequest)
	// Objects returns the objects newer than a revision and the revision up to which they are
	// complete.
	Objects(ctx context.Context, since uint64) ([]model.Object, uint64, error)
}

// Config identifies this daemon.
type Config struct {
	Self model.VM
	TLS  *tls.Config // nil for plain TCP
	// Unreadable is told of each pulled object that this version cannot read; nil for none.
	Unreadable store.UnreadableFunc
}

// Network holds the connections to all peers.
type Network struct {
	cfg     Config
	handler Handler

	mu       sync.Mutex
	closed   bool
	traffic  map[model.VM]*stream // streams that this daemon opened to owners
	accepted map[model.VM]*stream // streams that entry daemons opened to this one
	beats    map[model.VM]*beater
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a network without connections.
func New(cfg Config, handler Handler) *Network {
	if cfg.Unreadable == nil {
		cfg.Unreadable = func(model.ObjectKey, uint64, error) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		cfg:      cfg,
		handler:  handler,
		traffic:  make(map[model.VM]*stream),
		accepted: make(map[model.VM]*stream),
		beats:    make(map[model.VM]*beater),
		ctx:      ctx,
		cancel:   cancel,
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// Serve accepts peers until Close.
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

// Close ends all connections.
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

// handshake secures a connection, or closes it on failure.
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

// Beat sends a heartbeat. A heartbeat that waits behind one that is not confirmed yet is
// replaced by the newer one.
func (n *Network) Beat(to model.VM, address string, hb event.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	b, ok := n.beats[to]
	if !ok {
		b = &beater{n: n, next: make(chan beat, 1)}
		n.beats[to] = b
		n.wg.Add(1)
		go b.run()
	}
	b.put(beat{address: address, hb: hb})
}

// Forget ends the connections to peers that are not in keep.
func (n *Network) Forget(keep map[model.VM]model.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm, b := range n.beats {
		if _, ok := keep[vm]; !ok {
			close(b.next)
			delete(n.beats, vm)
		}
	}
	for vm, s := range n.traffic {
		if _, ok := keep[vm]; !ok {
			s.end()
		}
	}
}

// Hand delivers a release. A lost release is harmless: the successor waits until the lease
// has expired.
func (n *Network) Hand(address string, r event.Release) {
	n.call(func(ctx context.Context) {
		conn, err := n.dial(ctx, address)
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = peerpb.NewDRPCPeerClient(conn).Hand(ctx, releaseToPB(&r))
	})
}

// Pull asks a peer for the objects newer than a revision and hands them to done.
func (n *Network) Pull(address string, since uint64, done func([]model.Object, uint64, error)) {
	n.call(func(ctx context.Context) {
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

func (n *Network) call(f func(ctx context.Context)) {
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

// server implements the drpc service.
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

// Traffic serves the stream that an entry daemon opened.
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
	s.n.accept(from, t)
	defer s.n.dropAccepted(from, t)
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

// accept makes t the stream on which replies to vm go. An older stream is one of an earlier
// process of vm, or of a connection that vm has given up.
func (n *Network) accept(vm model.VM, t *stream) {
	n.mu.Lock()
	old := n.accepted[vm]
	n.accepted[vm] = t
	n.mu.Unlock()
	if old != nil {
		old.close()
		n.handler.PeerLost(vm, event.ConnectionIn)
	}
}

func (n *Network) dropAccepted(vm model.VM, t *stream) {
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
