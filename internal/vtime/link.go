package vtime

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Links simulates the network between daemons, with delay, loss and partitions.
type Links struct {
	sched *Scheduler
	Delay time.Duration // minimum one-way delay of a message
	Loss  float64       // share of heartbeats that are lost, 0 to 1
	cut   map[[2]model.VM]bool
}

// Cut drops all messages from one VM to another. The other direction is not affected.
func (l *Links) Cut(from, to model.VM) { l.cut[[2]model.VM{from, to}] = true }

// Heal undoes Cut.
func (l *Links) Heal(from, to model.VM) { delete(l.cut, [2]model.VM{from, to}) }

// Isolate cuts the links between a VM and the others in both directions.
func (l *Links) Isolate(vm model.VM, others []model.VM) {
	for _, o := range others {
		l.Cut(vm, o)
		l.Cut(o, vm)
	}
}

// Rejoin undoes Isolate.
func (l *Links) Rejoin(vm model.VM, others []model.VM) {
	for _, o := range others {
		l.Heal(vm, o)
		l.Heal(o, vm)
	}
}

// delay returns a random delay for one message, from Delay to 20% above it.
func (l *Links) delay() time.Duration {
	return l.Delay + time.Duration(l.sched.Rand.Float64()*float64(l.Delay)/5)
}

// send delivers a message after the delay of the link. It reports false if the link is cut.
func (l *Links) send(from, to model.VM, deliver func()) bool {
	if l.cut[[2]model.VM{from, to}] {
		return false
	}
	l.sched.After(l.delay(), deliver)
	return true
}
