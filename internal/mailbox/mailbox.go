// Package mailbox provides an unbounded queue between goroutines. Two event loops that send to
// each other through bounded channels could deadlock. The length of the queue is limited only by
// the number of running requests.
package mailbox

import "sync"

// Mailbox is a queue with one receiver and any number of senders.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Put appends an item. It never blocks.
func (m *Mailbox[T]) Put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value when items may be waiting.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take removes and returns all waiting items. The mailbox reuses the memory of spare for its queue,
// so the receiver must not use spare afterwards.
func (m *Mailbox[T]) Take(spare []T) []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = spare[:0]
	return items
}
