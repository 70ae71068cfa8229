package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// checkRate is the rate of the load that runs during the session, in requests per second.
	checkRate = 300
	// moveTimeout is the time from the start of a move to its deadline.
	moveTimeout = 75 * time.Second
	// stepTimeout limits how long a step waits for a condition.
	stepTimeout = 30 * time.Second
	// settleTime is the time within which a command is in force on all daemons.
	settleTime   = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// session is a run of the fixed steps of `demo --check`.
type session struct {
	d    *Demo
	out  io.Writer
	load loadCounter
}

// loadCounts counts the outcomes of the load that runs during the session.
type loadCounts struct {
	answers  int
	complete int // answers that cover all shards
	refused  int
	mixed    int                     // answers with a hit of another snapshot or version
	versions map[model.VersionID]int // answers by version
}

// loadCounter is a loadCounts that several goroutines can update at once.
type loadCounter struct {
	mu sync.Mutex
	loadCounts
}

func (l *loadCounter) snapshot() loadCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.loadCounts
	c.versions = maps.Clone(l.versions)
	return c
}

// Check runs a fixed session under load and prints one line for each step. It returns an error
// at the first step whose outcome is not the expected one.
func (d *Demo) Check(ctx context.Context, out io.Writer) error {
	s := &session{d: d, out: out}
	s.load.versions = make(map[model.VersionID]int)
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"apply", s.apply},
		{"search", s.search},
		{"zone out", s.zoneOut},
		{"zone in", s.zoneIn},
		{"pause", s.pause},
		{"resume", s.resume},
		{"good move", s.goodMove},
		{"bad move", s.badMove},
		{"snapshot change", s.snapshotChange},
		{"drain", s.drain},
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for i, step := range steps {
		if i == 2 { // the first two steps wait until the route gives a complete answer
			go s.runLoad(loadCtx)
		}
		start := time.Now()
		detail, err := step.run(ctx)
		if err != nil {
			fmt.Fprintf(out, "FAIL %-16s %v\n", step.name, err)
			return fmt.Errorf("step %q: %w", step.name, err)
		}
		fmt.Fprintf(out, "ok   %-16s %s (%.1f s)\n", step.name, detail, time.Since(start).Seconds())
	}
	return nil
}

// waitUntil repeats check until it succeeds, ctx is done or limit has passed, and returns the
// last error of check.
func waitUntil(ctx context.Context, limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// runLoad sends searches at checkRate to the daemons in turn. It replaces a daemon that is not
// ready by the first ready one.
func (s *session) runLoad(ctx context.Context) {
	ticker := time.NewTicker(time.Second / checkRate)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		daemon := i % len(s.d.Daemons)
		if !s.d.Daemons[daemon].Ready() {
			daemon = s.readyDaemon()
		}
		go func() {
			ans, err := s.d.Search(ctx, daemon, fmt.Sprintf("query %d", i))
			if ctx.Err() == nil {
				s.load.record(ans, err)
			}
		}()
	}
}

// readyDaemon returns the index of the first ready daemon: like a load balancer, it skips those
// that are not ready. It returns 0 if none is ready.
func (s *session) readyDaemon() int {
	for i, d := range s.d.Daemons {
		if d.Ready() {
			return i
		}
	}
	return 0
}

// record counts the outcome of one request. The body of a stand-in's hit names the version and
// the snapshot that it comes from.
func (l *loadCounter) record(ans *model.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	l.answers++
	l.versions[ans.Version]++
	if ans.Coverage.Complete() {
		l.complete++
	}
	want := fmt.Sprintf("version %s snapshot %d", ans.Version, ans.Snapshot)
	for _, h := range ans.Hits {
		if string(h.Body) != want {
			l.mixed++
			return
		}
	}
}

func (s *session) apply(ctx context.Context) (string, error) {
	if err := waitUntil(ctx, stepTimeout, func() error { return s.d.Apply(ctx) }); err != nil {
		return "", err
	}
	want := Shards * len(Versions)
	err := waitUntil(ctx, stepTimeout, func() error {
		owned, err := s.ownedShards(ctx)
		if err == nil && owned != want {
			err = fmt.Errorf("%d of %d shards have an owner", owned, want)
		}
		return err
	})
	return fmt.Sprintf("template in force on %d daemons, each of %d shards has one owner", len(s.d.Daemons), want), err
}

func (s *session) status(ctx context.Context, i int) (*operator.Status, error) {
	c, err := s.d.operatorClient(i)
	if err != nil {
		return nil, err
	}
	return c.GetStatus(ctx)
}

// ownedShards returns the sum of the shards that the daemons own.
func (s *session) ownedShards(ctx context.Context) (int, error) {
	owned := 0
	for i := range s.d.Daemons {
		st, err := s.status(ctx, i)
		if err != nil {
			return 0, err
		}
		owned += st.OwnedShards
	}
	return owned, nil
}

func (s *session) search(ctx context.Context) (string, error) {
	var ans *model.Answer
	err := waitUntil(ctx, stepTimeout, func() error {
		var err error
		ans, err = s.d.Search(ctx, 0, "logo")
		if err == nil && !ans.Coverage.Complete() {
			err = fmt.Errorf("the answer covers %d of %d shards", ans.Coverage.Answered, ans.Coverage.Wanted)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d of %d shards, version %s, snapshot %d, %d hits",
		ans.Coverage.Answered, ans.Coverage.Wanted, ans.Version, ans.Snapshot, len(ans.Hits)), nil
}

// checkResult returns an error unless an operator's command was carried out.
func checkResult(res *operator.CommandResult, err error) error {
	if err != nil {
		return err
	}
	if res.Code != operator.CommandResultCodeOk {
		return fmt.Errorf("%s: %s", res.Code, res.Message.Or(""))
	}
	return nil
}

func (s *session) setZone(ctx context.Context, daemon int, zone string, out bool) error {
	c, err := s.d.operatorClient(daemon)
	if err != nil {
		return err
	}
	return checkResult(c.SetZone(ctx, &operator.ZoneChange{Out: out}, operator.SetZoneParams{Zone: zone}))
}

// attemptsInZone returns the number of attempts that the searchers of a zone have run.
func (s *session) attemptsInZone(zone string) int {
	n := 0
	for id, searcher := range s.d.Searchers {
		if s.d.zoneOf[id] == zone {
			n += searcher.Stats().Executed
		}
	}
	return n
}

func (s *session) zoneOut(ctx context.Context) (string, error) {
	zone := zones[1]
	if err := waitUntil(ctx, stepTimeout, func() error {
		if s.attemptsInZone(zone) < 100 {
			return errors.New("the zone gets no load")
		}
		return nil
	}); err != nil {
		return "", err
	}
	if err := s.setZone(ctx, 0, zone, true); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	executed, before := s.attemptsInZone(zone), s.load.snapshot()
	time.Sleep(settleTime)
	late, after := s.attemptsInZone(zone)-executed, s.load.snapshot()
	if late > 0 {
		return "", fmt.Errorf("%d attempts went to zone %s more than %v after it was taken out", late, zone, settleTime)
	}
	answers, complete := after.answers-before.answers, after.complete-before.complete
	if answers == 0 || float64(complete) < 0.99*float64(answers) {
		return "", fmt.Errorf("only %d of %d answers are complete while the zone is out", complete, answers)
	}
	return fmt.Sprintf("no attempt in zone %s after %v; %d of %d answers complete meanwhile", zone, settleTime, complete, answers), nil
}

func (s *session) zoneIn(ctx context.Context) (string, error) {
	zone := zones[1]
	overloads := s.coldOverloads()
	if err := s.setZone(ctx, 1, zone, false); err != nil {
		return "", err
	}
	executed := s.attemptsInZone(zone)
	if err := waitUntil(ctx, stepTimeout, func() error {
		if s.attemptsInZone(zone) < executed+100 {
			return errors.New("the zone gets no load again")
		}
		return nil
	}); err != nil {
		return "", err
	}
	if n := s.coldOverloads() - overloads; n > 0 {
		return "", fmt.Errorf("searchers were overrun in cold start %d times", n)
	}
	return fmt.Sprintf("zone %s serves again, no searcher was overrun", zone), nil
}

// coldOverloads returns how often a searcher had more attempts than it can run in cold start.
func (s *session) coldOverloads() int {
	n := 0
	for _, searcher := range s.d.Searchers {
		n += searcher.Stats().FellOver
	}
	return n
}

func (s *session) setAutomation(ctx context.Context, paused bool) error {
	c, err := s.d.operatorClient(0)
	if err != nil {
		return err
	}
	if err := checkResult(c.SetAutomation(ctx, &operator.AutomationChange{Paused: paused})); err != nil {
		return err
	}
	return waitUntil(ctx, stepTimeout, func() error {
		for i := range s.d.Daemons {
			st, err := s.status(ctx, i)
			if err != nil {
				return err
			}
			if st.Paused != paused {
				return fmt.Errorf("%s does not report the new automation state yet", st.VM)
			}
		}
		return nil
	})
}

func (s *session) pause(ctx context.Context) (string, error) {
	return "automation paused on all daemons", s.setAutomation(ctx, true)
}

func (s *session) resume(ctx context.Context) (string, error) {
	return "automation resumed on all daemons", s.setAutomation(ctx, false)
}

// runMove starts a move, waits until it has ended, and returns its status.
func (s *session) runMove(ctx context.Context, name, from, to string) (*operator.MoveStatus, error) {
	c, err := s.d.operatorClient(2)
	if err != nil {
		return nil, err
	}
	spec := &operator.MoveSpec{
		Customer: Customer, Routes: []string{Route}, From: from, To: to, Deadline: time.Now().Add(moveTimeout),
	}
	if err := checkResult(c.StartMove(ctx, spec, operator.StartMoveParams{Move: name})); err != nil {
		return nil, err
	}
	var found operator.MoveStatus
	err = waitUntil(ctx, moveTimeout+stepTimeout, func() error {
		list, err := c.ListMoves(ctx)
		if err != nil {
			return err
		}
		for _, m := range list.Moves {
			if m.Name == name && m.Phase != operator.MoveStatusPhaseRunning {
				found = m
				return nil
			}
		}
		return fmt.Errorf("move %s has not ended", name)
	})
	return &found, err
}

func (s *session) goodMove(ctx context.Context) (string, error) {
	m, err := s.runMove(ctx, "demo-good", "v1", "v2")
	if err != nil {
		return "", err
	}
	if m.Phase != operator.MoveStatusPhaseFinished {
		return "", fmt.Errorf("the move is %s: %s", m.Phase, m.Reason.Or(""))
	}
	if end, ok := m.Ended.Get(); !ok || end.After(m.Deadline) {
		return "", fmt.Errorf("the move ended at %v, after its deadline %v", end, m.Deadline)
	}
	return "v1 -> v2 finished before its deadline: " + m.Reason.Or(""), nil
}

func (s *session) badMove(ctx context.Context) (string, error) {
	before := s.load.snapshot()
	m, err := s.runMove(ctx, "demo-bad", "v2", badVersion)
	if err != nil {
		return "", err
	}
	after := s.load.snapshot()
	if m.Phase != operator.MoveStatusPhaseTakenBack {
		return "", fmt.Errorf("the move is %s: %s", m.Phase, m.Reason.Or(""))
	}
	if !strings.Contains(m.Reason.Or(""), Route) {
		return "", fmt.Errorf("the reason %q does not name the route", m.Reason.Or(""))
	}
	bad := after.versions[badVersion] - before.versions[badVersion]
	all := after.answers - before.answers
	return fmt.Sprintf("v2 -> %s taken back, it saw %d of %d requests: %s", badVersion, bad, all, m.Reason.Or("")), nil
}

func (s *session) snapshotChange(context.Context) (string, error) {
	before := s.load.snapshot()
	for _, searcher := range s.d.Searchers {
		searcher.Publish()
		time.Sleep(pollInterval)
	}
	time.Sleep(time.Second)
	after := s.load.snapshot()
	if after.mixed > 0 {
		return "", fmt.Errorf("%d answers mix snapshots or versions", after.mixed)
	}
	return fmt.Sprintf("%d answers while every searcher went to the next snapshot, none mixed", after.answers-before.answers), nil
}

func (s *session) drain(ctx context.Context) (string, error) {
	before := s.load.snapshot()
	last := len(s.d.Daemons) - 1
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := s.d.Daemons[last].Shutdown(ctx); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	after := s.load.snapshot()
	if n := after.refused - before.refused; n > 0 {
		return "", fmt.Errorf("%d requests were refused during a graceful shutdown", n)
	}
	return fmt.Sprintf("one daemon left gracefully, %d answers meanwhile, none refused", after.answers-before.answers), nil
}
