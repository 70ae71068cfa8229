package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	minFaultPause    = 300 * time.Millisecond
	maxFaultPause    = 2500 * time.Millisecond
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// fault is one kind of fault. The function inject starts it and returns what it affects, for the
// report, and a function that ends it.
type fault struct {
	name   string
	inject func(dep *deployment) (what string, undo func())
}

var faultKinds = []fault{
	{"pause", func(dep *deployment) (string, func()) {
		d := dep.randomDaemon()
		d.signal(syscall.SIGSTOP)
		return d.name, func() { d.signal(syscall.SIGCONT) }
	}},
	{"kill", func(dep *deployment) (string, func()) {
		d := dep.randomDaemon()
		d.signal(syscall.SIGKILL)
		return d.name, d.markDisturbed
	}},
	{"term", func(dep *deployment) (string, func()) {
		d := dep.randomDaemon()
		d.signal(syscall.SIGTERM)
		return d.name, func() {}
	}},
	{"kill_all", func(dep *deployment) (string, func()) {
		for _, d := range dep.daemons {
			d.signal(syscall.SIGKILL)
		}
		return "all", func() {}
	}},
	{"hup", func(dep *deployment) (string, func()) {
		d := dep.randomDaemon()
		d.signal(syscall.SIGHUP)
		return d.name, func() {}
	}},
	{"store_link", func(dep *deployment) (string, func()) {
		d := dep.randomDaemon()
		return setProxyFault(d.store, dep.randomFaultMode(), d.name)
	}},
	{"store_conns", func(dep *deployment) (string, func()) {
		for _, d := range dep.daemons {
			d.store.muteOpen()
			d.markDisturbed()
		}
		return "open connections of all", func() {}
	}},
	{"store_down", func(dep *deployment) (string, func()) {
		dep.store.SetUnavailable(true)
		return "store", func() { dep.store.SetUnavailable(false) }
	}},
	{"server_link", func(dep *deployment) (string, func()) {
		s := dep.randomServer()
		return setProxyFault(s.proxy, dep.randomFaultMode(), s.ID)
	}},
	{"server_slow", func(dep *deployment) (string, func()) {
		return dep.changeServer(func(s *server, on bool) { s.extraServiceTime = valueIf(on, 300*time.Millisecond) })
	}},
	{"answer_lost", func(dep *deployment) (string, func()) {
		return dep.changeServer(func(s *server, on bool) { s.lostShare = valueIf(on, 0.3) })
	}},
	{"shed", func(dep *deployment) (string, func()) {
		return dep.changeServer(func(s *server, on bool) { s.shedShare = valueIf(on, 0.5) })
	}},
	{"config", func(dep *deployment) (string, func()) {
		dep.changeConfig()
		return fmt.Sprintf("version %d", dep.configVersion), func() {}
	}},
	{"drain", func(dep *deployment) (string, func()) {
		return dep.takeServerOut(dep.randomServer(), dep.drain)
	}},
	{"leave", func(dep *deployment) (string, func()) {
		return dep.takeServerOut(dep.randomServer(), func(s *server) { dep.remove(wire.KindReplicas, s.ID) })
	}},
	{"rollout", func(dep *deployment) (string, func()) { return dep.startRollout(dep.rng) }},
}

func valueIf[T any](on bool, value T) T {
	if on {
		return value
	}
	var off T
	return off
}

func setProxyFault(p *proxy, m mode, name string) (string, func()) {
	p.setMode(m)
	return fmt.Sprintf("%s %s", name, m), func() { p.setMode(modePass) }
}

func (dep *deployment) randomDaemon() *daemon { return dep.daemons[dep.rng.IntN(len(dep.daemons))] }
func (dep *deployment) randomFaultMode() mode { return faultModes[dep.rng.IntN(len(faultModes))] }

// randomServer returns a server other than the probe.
func (dep *deployment) randomServer() *server { return dep.pickServer(dep.rng) }

func (dep *deployment) pickServer(rng *rand.Rand) *server {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for {
		if s := dep.servers[rng.IntN(len(dep.servers))]; s.set != "probe" {
			return s
		}
	}
}

func (dep *deployment) changeServer(apply func(s *server, on bool)) (string, func()) {
	s := dep.randomServer()
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		apply(s, on)
	}
	set(true)
	return s.ID, func() { set(false) }
}

// takeServerOut withdraws a server from use, and registers it as ready again when the fault ends.
func (dep *deployment) takeServerOut(s *server, withdraw func(*server)) (string, func()) {
	withdraw(s)
	s.mu.Lock()
	s.drainingSince = time.Now()
	s.mu.Unlock()
	return s.ID, func() {
		s.mu.Lock()
		s.drainingSince = time.Time{}
		s.mu.Unlock()
		dep.register(s, wire.StateReady)
	}
}

func (dep *deployment) drain(s *server) { dep.register(s, wire.StateDraining) }

// These streams of random numbers are those of faults that come again and again in each seed, so that the other
// faults of a seed stay as they are.
const (
	drainStream = 12
	shedStream  = 13
)

// injectLongDrains drains servers one after the other until ctx ends, each for so long that requests to it are too
// late.
func (dep *deployment) injectLongDrains(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, drainStream))
	dep.repeatFault(ctx, rng, "long drain", drainBound, func() (string, func()) {
		return dep.takeServerOut(dep.pickServer(rng), dep.drain)
	})
}

// injectSheds lets all servers of a shard shed half of their requests, for one shard after the other until ctx
// ends. No other server of the shard is better, so that only the retry budget bounds the repeats. Only even seeds
// have this fault, and odd ones drills.
func (dep *deployment) injectSheds(ctx context.Context, seed uint64) {
	if seed%2 != 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, shedStream))
	dep.repeatFault(ctx, rng, "shard sheds", minFaultDuration, func() (string, func()) {
		set := fmt.Sprintf("part%d", rng.IntN(shards))
		shed := func(share float64) {
			dep.changeServers(func(s *server) bool { return s.set == set }, func(s *server) { s.shedShare = share })
		}
		shed(0.5)
		return set, func() { shed(0) }
	})
}

// changeServers applies a change to all servers that match.
func (dep *deployment) changeServers(match func(*server) bool, apply func(*server)) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, s := range dep.servers {
		if match(s) {
			s.mu.Lock()
			apply(s)
			s.mu.Unlock()
		}
	}
}

// repeatFault injects a fault again and again until ctx ends, each time for the least time and up to
// maxFaultDuration more.
func (dep *deployment) repeatFault(ctx context.Context, rng *rand.Rand, name string, least time.Duration, inject func() (string, func())) {
	for ctx.Err() == nil {
		sleep(ctx, minFaultPause+time.Duration(rng.Int64N(int64(maxFaultPause))))
		start := time.Now()
		what, undo := inject()
		sleep(ctx, least+time.Duration(rng.Int64N(int64(maxFaultDuration))))
		undo()
		dep.observations.recordFault(name+" "+what, start, time.Now())
	}
}

// storeFaults are the faults during which time bounds are not checked on any daemon.
var storeFaults = map[string]bool{"store_down": true}

// injectFaults starts random faults, which may overlap, until ctx ends. It returns when all of them
// have been undone.
func (dep *deployment) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	var serial sync.Mutex // guards rng and the state that faults change
	for ctx.Err() == nil {
		serial.Lock()
		f := faultKinds[dep.rng.IntN(len(faultKinds))]
		length := minFaultDuration + time.Duration(dep.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		pause := minFaultPause + time.Duration(dep.rng.Int64N(int64(maxFaultPause-minFaultPause)))
		what, undo := f.inject(dep)
		serial.Unlock()
		start := time.Now()
		wg.Go(func() {
			dep.holdFault(ctx, f.name, length)
			serial.Lock()
			undo()
			serial.Unlock()
			dep.observations.recordFault(f.name+" "+what, start, time.Now())
		})
		sleep(ctx, pause)
	}
	wg.Wait()
}

// holdFault waits for the duration of a fault and marks the daemons that it may affect: all of them
// during a store fault, since any VM may call the store, and each one whose link to the store is faulty.
func (dep *deployment) holdFault(ctx context.Context, name string, length time.Duration) {
	const step = 50 * time.Millisecond
	end := time.Now().Add(length)
	for ctx.Err() == nil && time.Now().Before(end) {
		if storeFaults[name] {
			dep.markAllDisturbed()
		}
		for _, d := range dep.daemons {
			if d.store.currentMode() != modePass {
				d.markDisturbed()
			}
		}
		time.Sleep(step)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
