// Package mailbox provides an unbounded queue between goroutines. Two event loops that
// send to each other through bounded channels could block each other for ever; the number
// of queued events is bounded by the number of running requests instead.
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

// Ready receives a value when items may be waiting.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// Take returns all waiting items and empties the mailbox. spare is reused as the new queue.
func (m *Mailbox[T]) Take(spare []T) []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = spare[:0]
	return items
}
