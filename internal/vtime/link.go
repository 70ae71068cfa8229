package vtime

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Links delays, loses and cuts what daemons send each other.
type Links struct {
	sched *Scheduler
	Delay time.Duration // one way between zones
	Loss  float64       // share of heartbeats that are lost, 0 to 1
	cut   map[[2]model.VM]bool
}

// Cut stops everything from one VM to another; call it twice for both ways.
func (l *Links) Cut(from, to model.VM) { l.cut[[2]model.VM{from, to}] = true }

// Heal ends a cut.
func (l *Links) Heal(from, to model.VM) { delete(l.cut, [2]model.VM{from, to}) }

// Isolate cuts a VM off from all others, both ways.
func (l *Links) Isolate(vm model.VM, others []model.VM) {
	for _, o := range others {
		l.Cut(vm, o)
		l.Cut(o, vm)
	}
}

// Rejoin ends Isolate.
func (l *Links) Rejoin(vm model.VM, others []model.VM) {
	for _, o := range others {
		l.Heal(vm, o)
		l.Heal(o, vm)
	}
}

// delay draws the time of one message: the base plus up to a fifth.
func (l *Links) delay() time.Duration {
	return l.Delay + time.Duration(l.sched.Rand.Float64()*float64(l.Delay)/5)
}

// send delivers a message unless the link is cut; it reports whether it was sent.
func (l *Links) send(from, to model.VM, deliver func()) bool {
	if l.cut[[2]model.VM{from, to}] {
		return false
	}
	l.sched.After(l.delay(), deliver)
	return true
}
