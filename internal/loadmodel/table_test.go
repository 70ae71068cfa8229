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

// maxConcurrentRuns is the maximum number of runs at the same time.
const maxConcurrentRuns = 4

func setups(load float64, queries int) []Setup {
	return []Setup{
		{Name: "Haugland portal search", Shards: 20, Replicas: 2, Slots: 3, EntryVMs: 8,
			HopDelay: 500 * time.Microsecond, Load: load, Queries: queries, Seed: 1},
		{Name: "Taproom court prep", Shards: 20, Replicas: 2, Slots: 2, EntryVMs: 8,
			HopDelay: 1500 * time.Microsecond, Load: load, Queries: queries, Seed: 1},
	}
}

// TestBounds guards against an owner that exceeds the slots of a server or the budget of extra
// attempts, or leaves shards unanswered, at low and high load.
func TestBounds(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, s := range setups(load, 1500) {
			t.Run(fmt.Sprintf("%s at %.0f%%", s.Name, 100*load), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for _, p := range []Policy{OwnerPerKeyNoHedges, OwnerPerKeyFromEnqueue, OwnerPerKeyFromDispatch, OwnerPerKey} {
					r := Run(s, p)
					is.True(r.MaxInFlight <= s.Slots) // attempts stay within the slots
					is.True(r.ExtraLoad <= 0.03)      // hedges stay within the budget
					is.Equal(r.Unanswered, 0)         // every shard is answered
				}
			})
		}
	}
}

// TestTable prints a table that compares all policies, if the flag -table is set.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	const queries = 30_000
	var rows []tableRow
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, s := range setups(load, queries) {
			for _, p := range Policies() {
				rows = append(rows, tableRow{setup: s, policy: p})
			}
		}
	}
	var wait sync.WaitGroup
	free := make(chan struct{}, maxConcurrentRuns)
	for i := range rows {
		wait.Go(func() {
			free <- struct{}{}
			rows[i].result = Run(rows[i].setup, rows[i].policy)
			<-free
		})
	}
	wait.Wait()
	fmt.Println("deployment             load  policy                         p50 ms  p99 ms p99.9 ms  extra  in flight  missed")
	for _, c := range rows {
		fmt.Println(c)
	}
}

// tableRow is one row of the table.
type tableRow struct {
	setup  Setup
	policy Policy
	result Result
}

func (c tableRow) String() string {
	r := c.result
	return fmt.Sprintf("%-22s %3.0f%%  %-29s %7.1f %7.1f %8.1f %5.2f%%  %4d on %d  %6d", c.setup.Name, 100*c.setup.Load,
		c.policy, millis(r.P50), millis(r.P99), millis(r.P999), 100*r.ExtraLoad, r.MaxInFlight, c.setup.Slots, r.Unanswered)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
