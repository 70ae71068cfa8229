package scenario

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/vtime"
	"github.com/gooseberrylock/gooseberrylock/model"
)

var moveSeeds = flag.Uint64("moveseeds", 1, "number of seeds for each case of the move tests")

// maxWithholdDelay is the maximum time from when the first daemon withholds a version to the last
// attempt that any daemon sends to it.
const maxWithholdDelay = 2 * time.Second

// moveCase is one combination of a new version and a fault, with the phase in which the move must end.
type moveCase struct {
	name        string
	want        model.MovePhase
	coldServers bool // the servers of the new version start in cold start
	badRoutes   int  // number of routes on which the new version is bad, 0 for all
	degrade     func(*vtime.ServerConfig)
	atShare     float64 // share of the new version from which on it is bad, 0 for the start
	fault       func(*MoveRun)
}

func failing(c *vtime.ServerConfig)  { c.FailShare = 0.5 }
func slow(c *vtime.ServerConfig)     { c.Median *= 3 }
func slowTail(c *vtime.ServerConfig) { c.SlowShare = 0.05 }
func busyFail(c *vtime.ServerConfig) { c.FailWhenBusy = true }

func storeDown(r *MoveRun) {
	r.After(20*time.Second, func() { r.Store.SetDown(true) })
	r.After(40*time.Second, func() { r.Store.SetDown(false) })
}

// storeDownEarly covers the time in which a bad version is detected.
func storeDownEarly(r *MoveRun) {
	r.After(time.Second, func() { r.Store.SetDown(true) })
	r.After(40*time.Second, func() { r.Store.SetDown(false) })
}

func crash(at time.Duration) func(*MoveRun) {
	return func(r *MoveRun) {
		n := r.Nodes[3]
		r.After(at, n.Crash)
		r.After(at+10*time.Second, func() { r.AddNode(n.VM, n.Zone) })
	}
}

func isolate(at time.Duration) func(*MoveRun) {
	return func(r *MoveRun) {
		n := r.Nodes[5]
		others := r.VMs(n.VM)
		r.After(at, func() { r.Links.Isolate(n.VM, others) })
		r.After(at+8*time.Second, func() { r.Links.Rejoin(n.VM, others) })
	}
}

func pause(from, to time.Duration) func(*MoveRun) {
	return func(r *MoveRun) {
		r.After(from, func() { r.Command(1, event.SetPause{Paused: true, Reason: "weekend"}) })
		r.After(to, func() { r.Command(2, event.SetPause{Reason: "weekend over"}) })
	}
}

var moveCases = []moveCase{
	{name: "good", want: model.MoveFinished},
	{name: "good, cold servers", want: model.MoveFinished, coldServers: true},
	{name: "good, store down 20 s to 40 s", want: model.MoveFinished, fault: storeDown},
	{name: "good, a daemon crashes at 40 s", want: model.MoveFinished, fault: crash(40 * time.Second)},
	{name: "good, a daemon cut off 40 s to 48 s", want: model.MoveFinished, fault: isolate(40 * time.Second)},
	// With a pause of 10 s the last stage would have 12.5 s, too short for its 300 pairs on some seeds.
	{name: "good, paused 17 s to 21 s", want: model.MoveFinished, fault: pause(17*time.Second, 21*time.Second)},
	{name: "good, deadline passes in a pause", want: model.MoveTakenBack, fault: pause(50*time.Second, 100*time.Second)},
	{name: "half of the attempts fail", want: model.MoveTakenBack, degrade: failing},
	{name: "three times slower", want: model.MoveTakenBack, degrade: slow},
	{name: "5% ten times slower", want: model.MoveTakenBack, degrade: slowTail},
	{name: "fails from 25% share on", want: model.MoveTakenBack, degrade: failing, atShare: 0.25},
	{name: "slow from 25% share on", want: model.MoveTakenBack, degrade: slow, atShare: 0.25},
	{name: "fails while busy", want: model.MoveTakenBack, degrade: busyFail},
	{name: "fails on one of two routes", want: model.MoveTakenBack, degrade: failing, badRoutes: 1},
	{name: "slow on one of two routes", want: model.MoveTakenBack, degrade: slow, badRoutes: 1},
	{name: "fails, cold servers", want: model.MoveTakenBack, degrade: failing, coldServers: true},
	{name: "slow, cold servers", want: model.MoveTakenBack, degrade: slow, coldServers: true},
	{name: "fails, store down 1 s to 40 s", want: model.MoveTakenBack, degrade: failing, fault: storeDownEarly},
	{name: "slow, a daemon crashes at 10 s", want: model.MoveTakenBack, degrade: slow, fault: crash(10 * time.Second)},
	{name: "fails, a daemon cut off 2 s to 10 s", want: model.MoveTakenBack, degrade: failing, fault: isolate(2 * time.Second)},
	{name: "fails, paused 1 s to 40 s", want: model.MoveTakenBack, degrade: failing, fault: pause(time.Second, 40*time.Second)},
}

// run runs the move of a case until at least 5 s after its end, or for 110 s if it does not end.
func (c *moveCase) run(seed uint64) *MoveRun {
	r := NewMoveRun(seed, c.coldServers)
	routes := c.badRoutes
	if routes == 0 {
		routes = len(r.Deployment.Routes)
	}
	degraded := c.degrade == nil
	r.OnShare = func(share float64) {
		if !degraded && share >= c.atShare {
			degraded = true
			r.Spoil(routes, c.degrade)
		}
	}
	if c.atShare == 0 && !degraded {
		degraded = true
		r.Spoil(routes, c.degrade)
	}
	r.Begin()
	if c.fault != nil {
		c.fault(r)
	}
	for range 22 { // 110 s, longer than the deadline and the longest fault
		r.Run(5 * time.Second)
		if m := r.StoredMove(); m != nil && m.Phase.Final() {
			r.Run(5 * time.Second)
			break
		}
	}
	return r
}

// violations returns a description of every requirement that a run violated.
func (c *moveCase) violations(r *MoveRun) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	m := r.StoredMove()
	if m == nil {
		return []string{"the move was not started: " + r.StartResult.Message}
	}
	if m.Phase != c.want {
		add("the move is %s, want %s: %s", m.Phase, c.want, m.Reason)
	}
	if m.Phase == model.MoveFinished && m.Ended.After(r.Deadline) {
		add("the move finished %v after its deadline", m.Ended.Sub(r.Deadline))
	}
	if slots, cold := r.OverrunsSinceWarmUp(); slots+cold > 0 {
		add("%d attempts exceeded the slots, %d the cold-start bound", slots, cold)
	}
	if r.SamplesAboveStage > 0 {
		add("%d samples have a larger share than the stored stage", r.SamplesAboveStage)
	}
	if r.Stats.MixedAnswers+r.Stats.WrongAnswers > 0 {
		add("%d answers mix snapshots or versions, %d have missing or duplicate documents", r.Stats.MixedAnswers, r.Stats.WrongAnswers)
	}
	if m.Phase == model.MoveTakenBack && r.FirstZeroShare >= 0 && r.LastNewAttempt > r.FirstZeroShare+maxWithholdDelay {
		add("an attempt on the new version started %v after the first daemon withheld it", r.LastNewAttempt-r.FirstZeroShare)
	}
	for _, n := range r.LiveNodes() {
		want := 0.0
		if m.Phase == model.MoveFinished {
			want = 1
		}
		if got := r.newVersionShare(n); m.Phase.Final() && got != want {
			add("the share is %v on %s, but the move is %s", got, n.VM, m.Phase)
		}
	}
	return list
}

// TestMoves guards against good versions that are rolled back or finish late, bad versions that are
// not rolled back, and moves that overload servers.
func TestMoves(t *testing.T) {
	t.Parallel()
	for _, c := range moveCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
				for _, violation := range c.violations(c.run(seed)) {
					t.Error(violation)
				}
			})
		})
	}
}

// TestMoveStartedTwice guards against two moves on one route when two operators start one at the
// same time.
func TestMoveStartedTwice(t *testing.T) {
	t.Parallel()
	for _, other := range []string{MoveName, "other"} {
		t.Run(other, func(t *testing.T) {
			t.Parallel()
			runSeeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
				is := is.New(t)
				r := NewMoveRun(seed, false)
				r.Begin()
				second := r.Command(4, r.StartCommand(other))
				r.Run(5 * time.Second)
				is.True(r.StartResult.Code == effect.CommandOK || second.Code == effect.CommandOK)
				if other == MoveName {
					is.True(r.StartResult.Code != second.Code) // one of the operators gets a conflict
				}
				running := 0
				for _, rep := range r.Nodes[2].Control().Moves() {
					if rep.Move.Phase == model.MoveRunning {
						running++
					}
				}
				is.Equal(running, 1)
				is.Equal(r.SamplesAboveStage, 0)
			})
		})
	}
}

// TestMoveTakenBackWhileItFinishes guards against a final phase that changes afterwards, and against
// daemons with different shares, when an operator rolls a move back at about the time it finishes.
func TestMoveTakenBackWhileItFinishes(t *testing.T) {
	t.Parallel()
	runSeeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Begin()
		var res *effect.CommandResult
		// The move is due to finish at 80 s. Depending on the seed, the command comes 2 ms before to 97 ms after.
		at := 80*time.Second - 2*time.Millisecond + time.Duration(seed*37%100)*time.Millisecond
		r.After(at, func() { res = r.Command(6, event.TakeBackMove{Name: MoveName, Reason: "operator"}) })
		r.Run(95 * time.Second)
		want, share := model.MoveTakenBack, 0.0
		if res.Code != effect.CommandOK {
			is.Equal(res.Code, effect.CommandConflict)
			want, share = model.MoveFinished, 1
		}
		is.Equal(r.StoredMove().Phase, want)
		for _, n := range r.LiveNodes() {
			is.Equal(r.newVersionShare(n), share)
		}
	})
}

// TestMoveOverdueInPause guards against a move that changes its share or ends while automation is
// paused, and against a move past its deadline that is not rolled back after the pause.
func TestMoveOverdueInPause(t *testing.T) {
	t.Parallel()
	runSeeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Begin()
		pause(50*time.Second, 100*time.Second)(r)
		r.Run(52 * time.Second)
		share := r.newVersionShare(r.Nodes[0])
		is.True(share > 0)
		r.Run(46 * time.Second)
		for _, n := range r.LiveNodes() {
			is.Equal(r.newVersionShare(n), share) // the share does not change in the pause
			reports := n.Control().Moves()
			is.True(len(reports) == 1 && reports[0].Overdue)
		}
		is.Equal(r.StoredMove().Phase, model.MoveRunning)
		r.Run(5 * time.Second)
		is.Equal(r.StoredMove().Phase, model.MoveTakenBack)
	})
}

// TestMoveWithheldInPause guards against a bad version that still gets attempts while automation is
// paused, and against a withheld mark that is not written to the store.
func TestMoveWithheldInPause(t *testing.T) {
	t.Parallel()
	runSeeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Spoil(2, failing)
		r.Begin()
		pause(time.Second, 50*time.Second)(r)
		r.Run(45 * time.Second)
		is.Equal(r.StoredMove().Phase, model.MoveRunning)
		is.True(r.StoredMove().Withheld)
		for _, n := range r.LiveNodes() {
			is.Equal(r.newVersionShare(n), 0.0)
		}
		r.Run(10 * time.Second)
		is.Equal(r.StoredMove().Phase, model.MoveTakenBack)
	})
}

// TestMovesTable prints how moves end, and the share of attempts that a bad version gets.
func TestMovesTable(t *testing.T) {
	if !*table {
		t.Skip("prints a table with -args -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "| case\t| as it should\t| finished\t| end s\t| to withhold s\t| to share 0 everywhere s\t| last attempt s\t| share before\t| attempts after\t| above slots\t| above cold bound\t|")
	fmt.Fprintln(out, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	rows := make([]string, len(moveCases))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 5)
	for i, c := range moveCases {
		wg.Add(1)
		go func() {
			defer wg.Done()
			limit <- struct{}{}
			rows[i] = c.row(t, *moveSeeds)
			<-limit
		}()
	}
	wg.Wait()
	for _, r := range rows {
		fmt.Fprintln(out, r)
	}
}

// row runs a case with seeds 1 to n and returns its table row: medians, each followed by the maximum.
// The time to withhold starts at the first attempt on a bad server, the other times when the first
// daemon withholds the version.
func (c *moveCase) row(t *testing.T, n uint64) string {
	var ends, withhold, zero, last, before, after []float64
	good, finished, slots, cold := 0, 0, 0, 0
	for seed := uint64(1); seed <= n; seed++ {
		r := c.run(seed)
		violations := c.violations(r)
		if len(violations) == 0 {
			good++
		}
		for _, v := range violations {
			t.Logf("%s, seed %d: %s", c.name, seed, v)
		}
		m := r.StoredMove()
		if m.Phase == model.MoveFinished {
			finished++
		}
		if m.Phase.Final() {
			ends = append(ends, m.Ended.Sub(m.Start).Seconds())
		}
		s, cl := r.OverrunsSinceWarmUp()
		slots += s
		cold += cl
		if r.FirstZeroShare < 0 || m.Phase != model.MoveTakenBack {
			continue
		}
		if r.FirstBadAttempt >= 0 {
			withhold = append(withhold, (r.FirstZeroShare - r.FirstBadAttempt).Seconds())
			before = append(before, 100*float64(r.newAttemptsWhileBad)/float64(max(r.attemptsWhileBad, 1)))
		}
		zero = append(zero, (r.AllZeroShare - r.FirstZeroShare).Seconds())
		last = append(last, max(0, (r.LastNewAttempt-r.FirstZeroShare).Seconds()))
		after = append(after, float64(r.newAttemptsAfterZero))
	}
	return fmt.Sprintf("| %s\t| %d of %d\t| %d\t| %s\t| %s\t| %s\t| %s\t| %s %%\t| %s\t| %d\t| %d\t|",
		c.name, good, n, finished, medianAndMax(ends), medianAndMax(withhold), medianAndMax(zero), medianAndMax(last), medianAndMax(before), medianAndMax(after), slots, cold)
}

// medianAndMax formats the lower median and the maximum.
func medianAndMax(v []float64) string {
	if len(v) == 0 {
		return "-"
	}
	slices.Sort(v)
	return fmt.Sprintf("%.3g / %.3g", v[(len(v)-1)/2], v[len(v)-1])
}
