package loadmodel

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var table = flag.Bool("table", false, "print the table of all policies")

// tableRuns bounds the runs at once.
const tableRuns = 4

func setups(load float64, queries int) []Setup {
	return []Setup{
		{Name: "Haugland portal search", Shards: 20, Replicas: 2, Slots: 3, Entries: 8,
			Hop: 500 * time.Microsecond, Load: load, Queries: queries, Seed: 1},
		{Name: "Taproom court prep", Shards: 20, Replicas: 2, Slots: 2, Entries: 8,
			Hop: 1500 * time.Microsecond, Load: load, Queries: queries, Seed: 1},
	}
}

// TestBounds guards the slot bound and the budget of extra attempts of the real owner at
// every load, and that it answers all that it does not shed.
func TestBounds(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, s := range setups(load, 1500) {
			t.Run(fmt.Sprintf("%s at %.0f%%", s.Name, 100*load), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for _, p := range []Policy{OwnerPerKeyNoHedges, OwnerPerKeyFromEnqueue, OwnerPerKeyFromDispatch, OwnerPerKey} {
					r := Run(s, p)
					is.True(r.MaxInFlight <= s.Slots) // slots
					is.True(r.Extra <= 0.03)          // extra load
					is.Equal(r.Missed, 0)             // answers
				}
			})
		}
	}
}

// TestTable prints the comparison if the flag is set.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	const queries = 30_000
	var cells []cell
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, s := range setups(load, queries) {
			for _, p := range Policies() {
				cells = append(cells, cell{setup: s, policy: p})
			}
		}
	}
	var wait sync.WaitGroup
	free := make(chan struct{}, tableRuns)
	for i := range cells {
		wait.Go(func() {
			free <- struct{}{}
			cells[i].result = Run(cells[i].setup, cells[i].policy)
			<-free
		})
	}
	wait.Wait()
	fmt.Println("deployment             load  policy                         p50 ms  p99 ms p99.9 ms  extra  in flight  missed")
	for _, c := range cells {
		fmt.Println(c)
	}
}

// cell is one line of the table.
type cell struct {
	setup  Setup
	policy Policy
	result Result
}

func (c cell) String() string {
	r := c.result
	return fmt.Sprintf("%-22s %3.0f%%  %-29s %7.1f %7.1f %8.1f %5.2f%%  %4d on %d  %6d", c.setup.Name, 100*c.setup.Load,
		c.policy, millis(r.P50), millis(r.P99), millis(r.P999), 100*r.Extra, r.MaxInFlight, c.setup.Slots, r.Missed)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
