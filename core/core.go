// Package core holds the state of a daemon and the single reducer that changes it. It
// performs no I/O and reads no clock: every input is an event and every output is an effect.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Default durations. Grace must be at least twice Fence plus the clock drift over Grace.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultFence             = 500 * time.Millisecond
	DefaultGrace             = 1200 * time.Millisecond
	DefaultTickInterval      = 50 * time.Millisecond
	DefaultWriteTimeout      = 2 * time.Second
	DefaultDrainDelay        = 2 * time.Second
)

// Config identifies a daemon and sets the timing of its control state.
type Config struct {
	Self              model.VM
	Boot              model.Boot
	Group             string
	Zone              model.AvailabilityZone
	Address           string // host:port for messages between daemons
	Seed              uint64 // seed of all random choices of this state
	HeartbeatInterval time.Duration
	Fence             time.Duration // how long a peer's support is valid; a lease needs the support of a majority
	Grace             time.Duration // time without a heartbeat after which a VM no longer counts as alive
	WriteTimeout      time.Duration
	DrainDelay        time.Duration // time after the start of a leave in which new requests are still accepted
}

// withDefaults returns c with zero durations replaced by their defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.Fence, DefaultFence)
	setDefault(&c.Grace, DefaultGrace)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.DrainDelay, DefaultDrainDelay)
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// State is the state of one role of a daemon. Exactly one of the fields is set.
type State struct {
	Control *Control
	Traffic *Traffic
}

// NewControl returns the control state of a daemon that starts at now.
func NewControl(cfg Config, now model.Time) *State {
	return &State{Control: newControl(cfg.withDefaults(), now)}
}

// NewTraffic returns the state of one traffic worker. Workers of a daemon need different
// seeds.
func NewTraffic(cfg Config) *State {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot)))
	return &State{Traffic: newTraffic(rng)}
}

// Reduce applies one event and returns the effects to carry out, in order. Events that the role of
// the state does not handle are ignored.
func Reduce(s *State, ev event.Event, now model.Time) []effect.Effect {
	var out effect.List
	if s.Control != nil {
		s.Control.reduce(ev, now, &out)
	}
	if s.Traffic != nil {
		s.Traffic.reduce(ev, now, &out)
	}
	return out.Take()
}
