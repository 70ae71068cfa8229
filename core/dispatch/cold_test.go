package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Guards against VMs that together send more requests per second to a cold server than the limit
// allows, and against a share so small that no VM sends any request.
func TestColdServer(t *testing.T) {
	for _, vms := range []int{1, 3, 9, 60} {
		const rate, factor, slack = 4.0, 1.5, 5.0
		r := model.Replica{WarmupLeft: 3 * time.Second, Sequence: 1}
		servers := make([]*serverStats, vms)
		for i := range servers {
			servers[i] = newServerStats(model.VM(fmt.Sprintf("vm%d", i)), "s1")
			servers[i].cold.observeRegistration(&r, 0)
		}
		var sent []model.Time
		for now := model.Time(0); now < model.Time(3*time.Second); now = now.Add(5 * time.Millisecond) {
			for _, s := range servers {
				if s.cold.allows(rate*factor+slack, vms, s.rank, now) {
					s.cold.recordSent(now)
					sent = append(sent, now)
				}
			}
		}
		is := is.New(t)
		is.True(len(sent) > 0)
		for i, at := range sent {
			n := 0
			for _, later := range sent[i:] {
				if later.Sub(at) < time.Second {
					n++
				}
			}
			if float64(n) > rate*factor+slack {
				t.Fatalf("%d VMs: %d requests in the second that starts at %s", vms, n, time.Duration(at))
			}
		}
		is.True(servers[0].cold.allows(1, vms, 1, model.Time(4*time.Second))) // warm
	}
}
