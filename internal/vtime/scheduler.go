// Package vtime runs the reducers of several daemons in virtual time. It has a seeded scheduler and
// simulates the object store, the backend servers and the links between daemons. The same seed
// gives the same run.
package vtime

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scheduler runs functions in the order of their virtual times. Functions with the same time run in
// the order in which they were scheduled.
type Scheduler struct {
	Rand  *rand.Rand
	now   time.Duration
	seq   uint64
	queue taskHeap
}

type task struct {
	at  time.Duration
	seq uint64
	run func()
}

type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = task{}
	*h = old[:len(old)-1]
	return t
}

// NewScheduler returns a scheduler at time 0.
func NewScheduler(seed uint64) *Scheduler {
	return &Scheduler{Rand: rand.New(rand.NewPCG(seed, 0))}
}

// Now returns the virtual time since the start.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules f for a virtual time, or for the current time if that has passed.
func (s *Scheduler) At(at time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, task{at: max(at, s.now), seq: s.seq, run: f})
}

// After schedules f to run when d has passed.
func (s *Scheduler) After(d time.Duration, f func()) { s.At(s.now+d, f) }

// RunUntil runs all functions that are due up to and including a virtual time.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	s.now = max(s.now, end)
}
