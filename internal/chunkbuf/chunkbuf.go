// Package chunkbuf collects bodies of unknown size in recycled chunks. Bodies that are refused before their end
// would otherwise produce garbage faster than it is collected.
package chunkbuf

import (
	"io"
	"sync"
)

// ChunkBytes is the unit in which memory is taken.
const ChunkBytes = 8 << 10

type chunk [ChunkBytes]byte

var pool = sync.Pool{New: func() any { return new(chunk) }}

// Buffer holds the full chunks of a body that is being received.
type Buffer struct {
	mu     sync.Mutex
	chunks []*chunk
}

// Release frees the chunks. It may be called at any time, more than once, and does not wait for Collect.
func (b *Buffer) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.chunks {
		pool.Put(c)
	}
	b.chunks = nil
}

func (b *Buffer) add(c *chunk) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks = append(b.chunks, c)
}

// join returns a copy of the chunks followed by tail.
func (b *Buffer) join(tail []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := make([]byte, 0, len(b.chunks)*ChunkBytes+len(tail))
	for _, c := range b.chunks {
		body = append(body, c[:]...)
	}
	return append(body, tail...)
}

// Collect reads in to its end and returns what it has read. It calls grow with ChunkBytes before it takes another
// chunk, and with 0 at the end, and returns the error of grow, if any: chunks may then have been released. The caller has to call Release.
func (b *Buffer) Collect(in io.Reader, grow func(n int64) error) ([]byte, error) {
	if err := grow(ChunkBytes); err != nil {
		return nil, err
	}
	current := pool.Get().(*chunk)
	defer func() { pool.Put(current) }()
	used := 0 // bytes of current
	for {
		n, err := in.Read(current[used:])
		used += n
		if err == io.EOF {
			return b.join(current[:used]), grow(0)
		}
		if err != nil {
			return nil, err
		}
		if used < ChunkBytes {
			continue
		}
		b.add(current)
		current = pool.Get().(*chunk)
		used = 0
		if err := grow(ChunkBytes); err != nil {
			return nil, err
		}
	}
}
