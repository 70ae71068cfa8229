package store

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/internal/rawserver"
)

// TestEndlessAnswers guards against a store that sends a head or a body without end, which must not use up the
// memory of the VM.
func TestEndlessAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector changes the size of the heap")
	}
	const (
		timeout       = time.Second
		maxExtraBytes = 64 << 20
	)
	for _, tt := range rawserver.EndlessReplies(`{"objects":[`, `{"kind":"zone","name":"a"},`) {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.Start(t, rawserver.Endless(tt.Head, tt.Unit, ""))
			h, err := NewHTTP("http://"+address, NewClient(&http.Transport{}), nil)
			is.NoErr(err)
			runtime.GC()
			calm := rawserver.HeapPeak(func() {})
			peak := rawserver.HeapPeak(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				_, _, err = h.List(ctx, 0, 0)
			})
			t.Logf("peak of the heap: %d MB, %d MB before", peak>>20, calm>>20)
			is.True(err != nil)
			is.True(peak < calm+maxExtraBytes)
		})
	}
}
