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

var moveSeeds = flag.Uint64("moveseeds", 1, "seeds per case of the move tests")

// spreadTime is the bound from the first daemon that withholds a version to the last query
// that any daemon sends to it.
const spreadTime = 2 * time.Second

// moveCase is one kind of new version or fault and the end that the move must come to.
type moveCase struct {
	name    string
	want    model.MovePhase
	cold    bool // the servers of the new version start cold
	routes  int  // bad routes, 0 for all
	spoil   func(*vtime.ServerConfig)
	atShare float64 // highest share in force at which the version turns bad, 0 for the start
	fault   func(*MoveRun)
}

func failing(c *vtime.ServerConfig)  { c.FailShare = 0.5 }
func slow(c *vtime.ServerConfig)     { c.Median *= 3 }
func slowTail(c *vtime.ServerConfig) { c.SlowShare = 0.05 }
func busyFail(c *vtime.ServerConfig) { c.FailWhenBusy = true }

func storeDown(r *MoveRun) {
	r.After(20*time.Second, func() { r.Store.SetDown(true) })
	r.After(40*time.Second, func() { r.Store.SetDown(false) })
}

// storeDownAtOnce covers the time in which a bad version shows itself.
func storeDownAtOnce(r *MoveRun) {
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

func cutOff(at time.Duration) func(*MoveRun) {
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
	{name: "good, cold servers", want: model.MoveFinished, cold: true},
	{name: "good, store down 20 s to 40 s", want: model.MoveFinished, fault: storeDown},
	{name: "good, a daemon crashes at 40 s", want: model.MoveFinished, fault: crash(40 * time.Second)},
	{name: "good, a daemon cut off 40 s to 48 s", want: model.MoveFinished, fault: cutOff(40 * time.Second)},
	// A pause of 10 s leaves 12.5 s for the last stage, which is too short for its 300 pairs on some seeds.
	{name: "good, paused 17 s to 21 s", want: model.MoveFinished, fault: pause(17*time.Second, 21*time.Second)},
	{name: "good, deadline passes in a pause", want: model.MoveTakenBack, fault: pause(50*time.Second, 100*time.Second)},
	{name: "half of the attempts fail", want: model.MoveTakenBack, spoil: failing},
	{name: "three times slower", want: model.MoveTakenBack, spoil: slow},
	{name: "5% ten times slower", want: model.MoveTakenBack, spoil: slowTail},
	{name: "fails from 25% share on", want: model.MoveTakenBack, spoil: failing, atShare: 0.25},
	{name: "slow from 25% share on", want: model.MoveTakenBack, spoil: slow, atShare: 0.25},
	{name: "fails while busy", want: model.MoveTakenBack, spoil: busyFail},
	{name: "fails on one of two routes", want: model.MoveTakenBack, spoil: failing, routes: 1},
	{name: "slow on one of two routes", want: model.MoveTakenBack, spoil: slow, routes: 1},
	{name: "fails, cold servers", want: model.MoveTakenBack, spoil: failing, cold: true},
	{name: "slow, cold servers", want: model.MoveTakenBack, spoil: slow, cold: true},
	{name: "fails, store down 1 s to 40 s", want: model.MoveTakenBack, spoil: failing, fault: storeDownAtOnce},
	{name: "slow, a daemon crashes at 10 s", want: model.MoveTakenBack, spoil: slow, fault: crash(10 * time.Second)},
	{name: "fails, a daemon cut off 2 s to 10 s", want: model.MoveTakenBack, spoil: failing, fault: cutOff(2 * time.Second)},
	{name: "fails, paused 1 s to 40 s", want: model.MoveTakenBack, spoil: failing, fault: pause(time.Second, 40*time.Second)},
}

// run lets the move of a case come to its end and 20 s more.
func (c *moveCase) run(seed uint64) *MoveRun {
	r := NewMoveRun(seed, c.cold)
	routes := c.routes
	if routes == 0 {
		routes = len(r.Deployment.Routes)
	}
	spoilt := c.spoil == nil
	r.OnShare = func(share float64) {
		if !spoilt && share >= c.atShare {
			spoilt = true
			r.Spoil(routes, c.spoil)
		}
	}
	if c.atShare == 0 && !spoilt {
		spoilt = true
		r.Spoil(routes, c.spoil)
	}
	r.Begin()
	if c.fault != nil {
		c.fault(r)
	}
	for range 22 { // 110 s, past the deadline and the longest fault
		r.Run(5 * time.Second)
		if m := r.Stored(); m != nil && m.Phase.Final() {
			r.Run(5 * time.Second)
			break
		}
	}
	return r
}

// faults lists what a run broke; it is empty for a run that ended as it should.
func (c *moveCase) faults(r *MoveRun) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	m := r.Stored()
	if m == nil {
		return []string{"no move: " + r.Started.Message}
	}
	if m.Phase != c.want {
		add("move is %s, want %s: %s", m.Phase, c.want, m.Reason)
	}
	if m.Phase == model.MoveFinished && m.Ended.After(r.Deadline) {
		add("finished %v after the deadline", m.Ended.Sub(r.Deadline))
	}
	if slots, cold := r.Overran(); slots+cold > 0 {
		add("%d attempts above the slots, %d above the cold-start bound", slots, cold)
	}
	if r.AboveStep > 0 {
		add("%d samples above the share of the stage", r.AboveStep)
	}
	if r.Stats.Mixed+r.Stats.Wrong > 0 {
		add("%d mixed and %d wrong answers", r.Stats.Mixed, r.Stats.Wrong)
	}
	if m.Phase == model.MoveTakenBack && r.FirstZero >= 0 && r.LastNew > r.FirstZero+spreadTime {
		add("attempt on the new version %v after the first daemon stopped", r.LastNew-r.FirstZero)
	}
	for _, n := range r.LiveNodes() {
		want := 0.0
		if m.Phase == model.MoveFinished {
			want = 1
		}
		if got := r.shareOf(n); m.Phase.Final() && got != want {
			add("share %v on %s after the move is %s", got, n.VM, m.Phase)
		}
	}
	return list
}

// TestMoves guards against good versions that are taken back or late, bad ones that go on,
// and servers that a move overruns.
func TestMoves(t *testing.T) {
	t.Parallel()
	for _, c := range moveCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
				for _, fault := range c.faults(c.run(seed)) {
					t.Error(fault)
				}
			})
		})
	}
}

// TestMoveStartedTwice guards against two moves on one route when operators start at once.
func TestMoveStartedTwice(t *testing.T) {
	t.Parallel()
	for _, other := range []string{MoveName, "other"} {
		t.Run(other, func(t *testing.T) {
			t.Parallel()
			seeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
				is := is.New(t)
				r := NewMoveRun(seed, false)
				r.Begin()
				second := r.Command(4, r.Move(other))
				r.Run(5 * time.Second)
				is.True(r.Started.Code == effect.CommandOK || second.Code == effect.CommandOK)
				if other == MoveName {
					is.True(r.Started.Code != second.Code) // one operator hears of the conflict
				}
				running := 0
				for _, rep := range r.Nodes[2].Control().Moves() {
					if rep.Move.Phase == model.MoveRunning {
						running++
					}
				}
				is.Equal(running, 1)
				is.Equal(r.AboveStep, 0)
			})
		})
	}
}

// TestMoveTakenBackWhileItFinishes guards against a verdict that changes, or daemons that
// disagree, when an operator takes a move back around its finish.
func TestMoveTakenBackWhileItFinishes(t *testing.T) {
	t.Parallel()
	seeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Begin()
		var res *effect.CommandResult
		// The finish is due at 80 s; seeds place the command from 2 ms before it to 98 ms after.
		at := 80*time.Second - 2*time.Millisecond + time.Duration(seed*37%100)*time.Millisecond
		r.After(at, func() { res = r.Command(6, event.TakeBackMove{Name: MoveName, Reason: "operator"}) })
		r.Run(95 * time.Second)
		want, share := model.MoveTakenBack, 0.0
		if res.Code != effect.CommandOK {
			is.Equal(res.Code, effect.CommandConflict)
			want, share = model.MoveFinished, 1
		}
		is.Equal(r.Stored().Phase, want)
		for _, n := range r.LiveNodes() {
			is.Equal(r.shareOf(n), share)
		}
	})
}

// TestMoveOverdueInPause guards against a move that changes its share or ends while
// automation is paused, and against one that goes on after its deadline.
func TestMoveOverdueInPause(t *testing.T) {
	t.Parallel()
	seeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Begin()
		pause(50*time.Second, 100*time.Second)(r)
		r.Run(52 * time.Second)
		share := r.shareOf(r.Nodes[0])
		is.True(share > 0)
		r.Run(46 * time.Second)
		for _, n := range r.LiveNodes() {
			is.Equal(r.shareOf(n), share) // the share stays in the pause
			reports := n.Control().Moves()
			is.True(len(reports) == 1 && reports[0].Overdue)
		}
		is.Equal(r.Stored().Phase, model.MoveRunning)
		r.Run(5 * time.Second)
		is.Equal(r.Stored().Phase, model.MoveTakenBack)
	})
}

// TestMoveWithheldInPause guards against a bad version that goes on, or a mark that is not
// kept in the store, while automation is paused.
func TestMoveWithheldInPause(t *testing.T) {
	t.Parallel()
	seeds(t, *moveSeeds, func(t *testing.T, seed uint64) {
		is := is.New(t)
		r := NewMoveRun(seed, false)
		r.Spoil(2, failing)
		r.Begin()
		pause(time.Second, 50*time.Second)(r)
		r.Run(45 * time.Second)
		is.Equal(r.Stored().Phase, model.MoveRunning)
		is.True(r.Stored().Withheld)
		for _, n := range r.LiveNodes() {
			is.Equal(r.shareOf(n), 0.0)
		}
		r.Run(10 * time.Second)
		is.Equal(r.Stored().Phase, model.MoveTakenBack)
	})
}

// TestMovesTable prints how moves end, and what a bad version receives.
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

// row runs a case and prints medians, with the largest value after a slash. Times to withhold
// count from the first attempt on a bad server, the others from the first withheld daemon.
func (c *moveCase) row(t *testing.T, n uint64) string {
	var ends, withhold, zero, last, before, after []float64
	good, finished, slots, cold := 0, 0, 0, 0
	for seed := uint64(1); seed <= n; seed++ {
		r := c.run(seed)
		faults := c.faults(r)
		if len(faults) == 0 {
			good++
		}
		for _, f := range faults {
			t.Logf("%s, seed %d: %s", c.name, seed, f)
		}
		m := r.Stored()
		if m.Phase == model.MoveFinished {
			finished++
		}
		if m.Phase.Final() {
			ends = append(ends, m.Ended.Sub(m.Start).Seconds())
		}
		s, cl := r.Overran()
		slots += s
		cold += cl
		if r.FirstZero < 0 || m.Phase != model.MoveTakenBack {
			continue
		}
		if r.Onset >= 0 {
			withhold = append(withhold, (r.FirstZero - r.Onset).Seconds())
			before = append(before, 100*float64(r.freshBad)/float64(max(r.attemptsSeen, 1)))
		}
		zero = append(zero, (r.AllZero - r.FirstZero).Seconds())
		last = append(last, max(0, (r.LastNew-r.FirstZero).Seconds()))
		after = append(after, float64(r.freshAfter))
	}
	return fmt.Sprintf("| %s\t| %d of %d\t| %d\t| %s\t| %s\t| %s\t| %s\t| %s %%\t| %s\t| %d\t| %d\t|",
		c.name, good, n, finished, spread(ends), spread(withhold), spread(zero), spread(last), spread(before), spread(after), slots, cold)
}

// spread prints the lower median and the largest value.
func spread(v []float64) string {
	if len(v) == 0 {
		return "-"
	}
	slices.Sort(v)
	return fmt.Sprintf("%.3g / %.3g", v[(len(v)-1)/2], v[len(v)-1])
}
