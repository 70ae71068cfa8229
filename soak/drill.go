package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/platform/platformtest"
	"github.com/gooseberrylock/gooseberrylock/platform/wire"
)

const (
	// drillStream is the stream of random numbers of injectDrills.
	drillStream = 11
	minCopyAge  = time.Second
	maxCopyAge  = 20 * time.Second
	minAway     = 100 * time.Millisecond
	maxAway     = 3 * time.Second
	// writtenAgain bounds the time after the return of the store in which operators and running servers have
	// written again what is lost, and expiredAgain the time in which it has removed the entries of the others.
	writtenAgain = 2 * time.Second
	expiredAgain = 3600 * time.Millisecond
)

// objectKey names an object of the store.
type objectKey struct{ kind, name string }

// wanted is what operators and servers want the store to hold. They write it again when the store has gone back
// to a copy.
type wanted struct {
	mu    sync.Mutex
	specs map[objectKey]map[string]any // nil for an object that was removed
}

// put writes an object to the store.
func (dep *deployment) put(kind, name string, spec map[string]any) {
	dep.wanted.mu.Lock()
	defer dep.wanted.mu.Unlock()
	dep.putLocked(objectKey{kind, name}, spec)
}

// putLocked writes an object to the store. Each entry of a server has the next sequence since its start. The
// caller holds the lock of dep.wanted.
func (dep *deployment) putLocked(key objectKey, spec map[string]any) {
	old := dep.wanted.specs[key]
	if key.kind == wire.KindReplicas && old != nil && old["born"] == spec["born"] {
		spec["sequence"] = old["sequence"].(int) + 1
	}
	dep.wanted.specs[key] = spec
	dep.store.Put(key.kind, key.name, spec)
}

func (dep *deployment) remove(kind, name string) {
	dep.wanted.mu.Lock()
	defer dep.wanted.mu.Unlock()
	dep.wanted.specs[objectKey{kind, name}] = nil
	dep.store.Remove(kind, name)
}

// writeAgain writes or removes an object unless the store holds what is wanted.
func (dep *deployment) writeAgain(key objectKey) {
	dep.wanted.mu.Lock()
	defer dep.wanted.mu.Unlock()
	spec := dep.wanted.specs[key]
	stored, exists := dep.store.Spec(key.kind, key.name)
	switch {
	case spec == nil && exists:
		dep.store.Remove(key.kind, key.name)
	case spec != nil && !reflect.DeepEqual(stored, any(spec)):
		dep.putLocked(key, maps.Clone(spec))
	}
}

// writeAllAgain lets operators and servers write again what the store has lost, each after a time of its own.
func (dep *deployment) writeAllAgain() {
	dep.wanted.mu.Lock()
	defer dep.wanted.mu.Unlock()
	for key, spec := range dep.wanted.specs {
		within := writtenAgain
		if spec == nil {
			within = expiredAgain
		}
		time.AfterFunc(time.Duration(rand.Int64N(int64(within))), func() { dep.writeAgain(key) })
	}
}

// injectDrills makes the store go back to older copies, one after the other, until ctx ends. It has random
// numbers of its own, so that the other faults of a seed stay as they are. Only odd seeds have drills: each one
// excuses all daemons from the time bounds for some seconds.
func (dep *deployment) injectDrills(ctx context.Context, seed uint64) {
	if seed%2 == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, drillStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for ctx.Err() == nil {
		c := dep.store.Copy()
		age := between(minCopyAge, maxCopyAge)
		if rng.IntN(2) == 0 {
			age = between(minCopyAge, maxCopyAge/4) // such drills come often, also in short runs
		}
		sleep(ctx, age)
		if ctx.Err() != nil {
			return
		}
		dep.drill(c, between(minAway, maxAway), age)
	}
}

// drill makes the store unavailable for a time and go back to a copy.
func (dep *deployment) drill(c *platformtest.Copy, away, age time.Duration) {
	start := time.Now()
	dep.store.SetUnavailable(true)
	for time.Since(start) < away {
		dep.markAllDisturbed()
		time.Sleep(min(away, 50*time.Millisecond))
	}
	lost := dep.store.Restore(c)
	dep.store.SetUnavailable(false)
	dep.markAllDisturbed()
	dep.writeAllAgain()
	dep.observations.recordFault(fmt.Sprintf("drill, %d revisions, %s old", lost, age.Round(time.Millisecond)), start, time.Now())
}

func (dep *deployment) markAllDisturbed() {
	for _, d := range dep.daemons {
		d.markDisturbed()
	}
}
