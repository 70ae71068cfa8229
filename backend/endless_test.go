package backend

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/internal/rawserver"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestEndlessAnswers guards against backend servers that send a head or a body without end: their bytes must
// not use up the memory of the VM, and the attempt counts as one that may have run.
func TestEndlessAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector changes the size of the heap")
	}
	const (
		servers       = 20
		timeout       = 500 * time.Millisecond
		maxExtraBytes = 64 << 20
	)
	for _, tt := range rawserver.EndlessReplies(`{"records":[`, `{"id":"a","score":1},`) {
		t.Run(tt.Name, func(t *testing.T) {
			is := is.New(t)
			h := newClient(t, 1)
			address := rawserver.Start(t, rawserver.Endless(tt.Head, tt.Unit, ""))
			runtime.GC()
			calm := rawserver.HeapPeak(func() {})
			var outcomes [servers]model.AttemptResult
			peak := rawserver.HeapPeak(func() {
				var wg sync.WaitGroup
				for i := range outcomes {
					wg.Go(func() {
						server := model.BackendServer{ID: model.BackendServerID(string(rune('a' + i))), Address: address}
						outcomes[i] = h.Execute(context.Background(), &effect.StartAttempt{Server: server, Limits: testLimits, Timeout: timeout})
					})
				}
				wg.Wait()
			})
			t.Logf("peak of the heap: %d MB, %d MB before", peak>>20, calm>>20)
			is.True(peak < calm+maxExtraBytes)
			for _, res := range outcomes {
				is.True(res.Outcome == model.OutcomeLost || res.Outcome == model.OutcomeTimeout)
			}
		})
	}
}
