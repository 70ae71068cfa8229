package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// BenchmarkRequest measures the handling of a sub-request: its receipt, the result of its
// attempt and the wake-ups that are due.
func BenchmarkRequest(b *testing.B) {
	for _, keys := range []int{8, 64, 1000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			o := admission.New()
			now := model.Time(time.Second)
			var out effect.List
			o.View(newView(keys), now, &out)
			out.Take()
			sub := model.SubRequest{
				Entry: "vm-b", Epoch: epoch, Budget: time.Second,
				Owner: model.Owner{VM: self, Boot: selfBoot},
			}
			ids := make([]model.ShardKey, keys)
			for i := range ids {
				ids[i] = keyOf(i)
			}
			attempt := model.AttemptID(0) // each request has one attempt, which ends before its hedge is due
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sub.Query++
				sub.Key = ids[i%keys]
				o.Requests(event.SubRequestsReceived{Requests: []model.SubRequest{sub}}, now, &out)
				now = now.Add(100 * time.Microsecond)
				attempt++
				o.AttemptDone(event.AttemptDone{Attempt: attempt}, now, &out)
				for o.NextWake() <= now {
					o.Wake(now, &out)
				}
				out.Take()
			}
		})
	}
}

// BenchmarkView measures a view with an unchanged configuration.
func BenchmarkView(b *testing.B) {
	for _, keys := range []int{8, 64, 1000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			o := admission.New()
			v := newView(keys)
			now := model.Time(time.Second)
			var out effect.List
			for b.Loop() {
				o.View(v, now, &out)
				out.Take()
			}
		})
	}
}

// BenchmarkCheck measures Check for keys with all slots in use and a short queue.
func BenchmarkCheck(b *testing.B) {
	for _, keys := range []int{8, 64, 1000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			h := newHarness(newView(keys))
			var subs []model.SubRequest
			for i := range 8 * keys {
				subs = append(subs, h.newSearch(i%keys))
			}
			h.send(subs...)
			b.ReportAllocs()
			for b.Loop() {
				if err := h.owner.Check(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
