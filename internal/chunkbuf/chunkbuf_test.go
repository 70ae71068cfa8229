package chunkbuf

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against bodies that lose or repeat bytes at the borders of chunks, however they arrive.
func TestCollect(t *testing.T) {
	readers := map[string]func(io.Reader) io.Reader{
		"at once":           func(r io.Reader) io.Reader { return r },
		"byte by byte":      iotest.OneByteReader,
		"in halves":         iotest.HalfReader,
		"end with the data": iotest.DataErrReader,
	}
	for name, wrap := range readers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, size := range []int{0, 1, ChunkBytes - 1, ChunkBytes, ChunkBytes + 1, 3 * ChunkBytes} {
				want := make([]byte, size)
				for i := range want {
					want[i] = byte(i * 7 >> 3)
				}
				b, held := &Buffer{}, int64(0)
				got, err := b.Collect(wrap(bytes.NewReader(want)), func(n int64) error { held += n; return nil })
				is.NoErr(err)
				is.True(bytes.Equal(got, want))
				is.True(held >= int64(size) && held <= int64(size)+ChunkBytes)
				b.Release()
			}
		})
	}
}

// Guards against a body without its released chunks that is taken for whole.
func TestCollectReportsReleasedChunks(t *testing.T) {
	is := is.New(t)
	errRevoked := errors.New("revoked")
	b := &Buffer{}
	_, err := b.Collect(bytes.NewReader(make([]byte, 2*ChunkBytes)), func(n int64) error {
		if n > 0 {
			return nil
		}
		b.Release()
		return errRevoked
	})
	is.Equal(err, errRevoked)
}
