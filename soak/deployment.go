package main

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	shards          = 6
	turnShards      = 2 // of the route that is gathered in every second configuration
	replicas        = 2
	fileServers     = 4
	recordsPerPart  = 8
	topK            = 10
	minCoverage     = 0.5
	firstVersion    = "v1"
	baseServiceTime = 8 * time.Millisecond
	routeTimeout    = 2 * time.Second

	// The retry budget is smaller than the platform's default, so that a daemon that ignores it
	// exceeds it within a few seconds of one fault.
	retryRatio  = 0.05
	retryBurst  = 20
	retryWindow = 10 * time.Second
)

// server is a backend server behind a proxy, with the faults that are switched on.
type server struct {
	*platformtest.Server
	set     string
	version string
	proxy   *proxy

	mu               sync.Mutex
	extraServiceTime time.Duration // added to the service time of each request
	lostShare        float64       // share of requests that run but whose answer is lost
	shedShare        float64       // share of requests that are refused without running
	failShare        float64       // share of requests that run and are answered with a failure
	drainingSince    time.Time     // time at which the store acknowledged the draining state, zero if none
	notice           notice        // what it says of itself, "" if nothing
	noticeNumber     int           // number of notices so far
	starts           int           // number of restarts so far
}

// deployment is the store, the entry VMs and the backend servers of one run, and what was observed.
type deployment struct {
	rng           *rand.Rand
	dir           string
	store         *platformtest.Store
	daemons       []*daemon
	observations  *observations
	wanted        wanted
	configVersion int // newest version that was written

	mu      sync.Mutex // guards servers
	servers []*server
}

func newDeployment(seed uint64, vms int, binary, dir string) (*deployment, error) {
	dep := &deployment{rng: rand.New(rand.NewPCG(seed, 0)), dir: dir, store: platformtest.NewStore(), observations: newObservations()}
	dep.wanted.specs = make(map[objectKey]map[string]any)
	for _, set := range append(setNames("part", shards), setNames("turn", turnShards)...) {
		for r := range replicas {
			if _, err := dep.addServer(set, fmt.Sprintf("%s-%d", set, r), firstVersion); err != nil {
				return nil, err
			}
		}
	}
	for r := range fileServers {
		if _, err := dep.addServer("files", fmt.Sprintf("f%d", r), firstVersion); err != nil {
			return nil, err
		}
	}
	if _, err := dep.addServer("probe", "probe", firstVersion); err != nil {
		return nil, err
	}
	dep.changeConfig()
	for i := range vms {
		ip := fmt.Sprintf("127.0.%d.%d", 10+seed%200, i+1)
		if err := checkAddressFree(ip); err != nil {
			return nil, err
		}
		store, err := newProxy(ip+":0", dep.store.Address())
		if err != nil {
			return nil, err
		}
		d := &daemon{
			name: fmt.Sprintf("vm%d", i+1), ip: ip, dir: dir, binary: binary, small: i%2 == 1, store: store, sigterms: make(map[int]time.Time),
		}
		if err := d.start(); err != nil {
			return nil, err
		}
		dep.daemons = append(dep.daemons, d)
	}
	return dep, nil
}

// checkAddressFree fails if the address is in use, as it is while another soak with the same seed
// runs: its callers would reach this one's daemons.
func checkAddressFree(ip string) error {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(callerPort)))
	if err != nil {
		return fmt.Errorf("address in use, perhaps by another soak with this seed: %w", err)
	}
	return lis.Close()
}

func (dep *deployment) close() {
	for _, d := range dep.daemons {
		d.stop()
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, s := range dep.servers {
		s.proxy.close()
		_ = s.Close()
	}
	dep.store.Close()
}

// buildDaemon builds the daemon from the current module and returns the path of the binary.
func buildDaemon(dir string) (string, error) {
	path := filepath.Join(dir, "gooseberrylockd")
	cmd := exec.Command("go", "build", "-o", path, "github.com/gooseberrylock/gooseberrylock/cmd/gooseberrylockd")
	cmd.Stderr = os.Stderr
	return path, cmd.Run()
}

func (dep *deployment) addServer(set, id, version string) (*server, error) {
	inner, err := platformtest.NewServer(id)
	if err != nil {
		return nil, err
	}
	p, err := newProxy("127.0.0.1:0", inner.Address())
	if err != nil {
		return nil, err
	}
	s := &server{Server: inner, set: set, version: version, proxy: p}
	inner.Script(dep.handler(s))
	dep.mu.Lock()
	dep.servers = append(dep.servers, s)
	dep.mu.Unlock()
	dep.register(s, wire.StateReady)
	return s, nil
}

func (dep *deployment) register(s *server, state string) {
	dep.put(wire.KindReplicas, s.ID, serverSpec(s, state))
}

// setNames returns the names of n replica sets.
func setNames(prefix string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s%d", prefix, i))
	}
	return names
}

// changeConfig writes the next configuration version. Each version sends the probe route to its own
// replica set, so that the answer to a probe shows which version was in force. The turn route is gathered
// in every second version, and has one replica set in the others.
func (dep *deployment) changeConfig() {
	dep.configVersion++
	set := fmt.Sprintf("probe-%d", dep.configVersion)
	dep.mu.Lock()
	servers := slices.Clone(dep.servers)
	dep.mu.Unlock()
	for _, s := range servers {
		if s.set == "probe" {
			dep.put(wire.KindReplicas, set, platformtest.ServerSpec(set, s.proxy.address(), wire.StateReady))
		}
	}
	turn := platformtest.GatherSpec("turn", "/t/", setNames("turn", turnShards), topK, minCoverage)
	if dep.configVersion%2 == 0 {
		turn = platformtest.RouteSpec("turn", "/t/", "safe", "turn0")
	}
	dep.put(wire.KindConfig, wire.MainConfig, platformtest.ConfigSpec(dep.configVersion,
		platformtest.GatherSpec("search", "/s/", setNames("part", shards), topK, minCoverage),
		turn,
		platformtest.RouteSpec("read", "/r/", "safe", "files"),
		platformtest.RouteSpec("write", "/w/", "unsafe", "files"),
		platformtest.RouteSpec("probe", "/p/", "safe", set),
	))
	dep.observations.recordConfig(dep.configVersion)
}

// signature returns the signature that a server sends with its answer. It depends on the request, the
// replica set and the server, so that callers detect an answer to another request or of another set.
func signature(id, set, server string) string {
	return fmt.Sprintf("%s.%s.%s.%x", id, set, server, xxhash.Sum64String(id+"|"+set+"|"+server))
}

// partBody returns the body of an answer. All servers of a replica set answer a request with the same body.
func partBody(id, set string) string {
	var b strings.Builder
	for i := range recordsPerPart {
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", id, set, i)))
		b.WriteString(hex.EncodeToString(raw[:]))
	}
	return b.String()
}

// handler returns the handler of a server's requests. It applies the server's faults.
func (dep *deployment) handler(s *server) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.RequestID)
		target := r.Header.Get(wire.TargetServer)
		s.mu.Lock()
		work := baseServiceTime + s.extraServiceTime
		lose, shed, fail := rand.Float64() < s.lostShare, rand.Float64() < s.shedShare, rand.Float64() < s.failShare
		since := s.drainingSince
		kind, source := s.notice, noticeSource{s, s.noticeNumber}
		s.mu.Unlock()
		dep.observations.recordArrival(s, id, since)
		if kind != "" {
			dep.observations.checkNotice(source, kind, id)
			if s.proxy.currentMode() == modePass { // else the answer may not arrive
				dep.observations.recordNotice(source, kind, id)
			}
			setNotice(kind, rw.Header())
		}
		if kind == noticeRest {
			rw.Header().Set(wire.RequestID, id)
		}
		if shed || kind == noticeRest {
			platformtest.Shed(rw)
			return
		}
		dep.observations.recordRun(id)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		if lose {
			panic(http.ErrAbortHandler)
		}
		if fail {
			dep.observations.recordTargetFailure(s.version)
			rw.Header().Set(wire.RequestID, id)
			rw.Header().Set(wire.Signature, signature(id, s.set, target))
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		set := s.set
		if set == "probe" {
			set = target
		}
		platformtest.Answer(rw, r, signature(id, set, target), partBody(id, set))
	}
}
