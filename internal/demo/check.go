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
	// checkRate is the load under the session, in requests a second.
	checkRate = 300
	// moveTime is from the start of a move to its deadline.
	moveTime = 75 * time.Second
	// stepTimeout bounds a step that waits for a condition.
	stepTimeout = 30 * time.Second
	// settle is the time in which a command is in force everywhere.
	settle = 5 * time.Second
	poll   = 50 * time.Millisecond
)

// session is the fixed session of `demo --check`.
type session struct {
	d    *Demo
	out  io.Writer
	load loadTally
}

// loadCounts sums up the answers of the load that runs under the session.
type loadCounts struct {
	answers  int
	complete int
	refused  int
	mixed    int // answers with hits of another snapshot or version
	versions map[model.VersionID]int
}

// loadTally is loadCounts shared between goroutines.
type loadTally struct {
	mu sync.Mutex
	loadCounts
}

func (l *loadTally) snapshot() loadCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.loadCounts
	c.versions = maps.Clone(l.versions)
	return c
}

// Check runs a fixed session, prints one line a step, and fails at the first step whose
// outcome is not as stated.
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
		if i == 2 {
			go s.runLoad(loadCtx)
		}
		began := time.Now()
		detail, err := step.run(ctx)
		if err != nil {
			fmt.Fprintf(out, "FAIL %-16s %v\n", step.name, err)
			return fmt.Errorf("step %q: %w", step.name, err)
		}
		fmt.Fprintf(out, "ok   %-16s %s (%.1f s)\n", step.name, detail, time.Since(began).Seconds())
	}
	return nil
}

// until repeats check until it succeeds or the time is up.
func until(ctx context.Context, limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(poll)
	}
}

// runLoad searches at a fixed rate through all daemons that take requests.
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
			ans, err := s.d.Do(ctx, daemon, fmt.Sprintf("query %d", i))
			if ctx.Err() == nil {
				s.load.record(ans, err)
			}
		}()
	}
}

// readyDaemon returns the first daemon that takes requests, as the balancer would.
func (s *session) readyDaemon() int {
	for i, d := range s.d.Daemons {
		if d.Ready() {
			return i
		}
	}
	return 0
}

func (l *loadTally) record(ans *model.Answer, err error) {
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
	if err := until(ctx, stepTimeout, func() error { return s.d.Apply(ctx) }); err != nil {
		return "", err
	}
	want := Shards * len(Versions)
	err := until(ctx, stepTimeout, func() error {
		owned, err := s.owned(ctx)
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

func (s *session) owned(ctx context.Context) (int, error) {
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
	err := until(ctx, stepTimeout, func() error {
		var err error
		ans, err = s.d.Do(ctx, 0, "logo")
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

// command checks the result of an operator's command.
func command(res *operator.CommandResult, err error) error {
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
	return command(c.SetZone(ctx, &operator.ZoneChange{Out: out}, operator.SetZoneParams{Zone: zone}))
}

// executed counts the attempts that searchers of a zone have run.
func (s *session) executed(zone string) int {
	n := 0
	for id, searcher := range s.d.Searchers {
		if s.d.zonesOf[id] == zone {
			n += searcher.Stats().Executed
		}
	}
	return n
}

func (s *session) zoneOut(ctx context.Context) (string, error) {
	zone := zones[1]
	if err := until(ctx, stepTimeout, func() error {
		if s.executed(zone) < 100 {
			return errors.New("the zone gets no load")
		}
		return nil
	}); err != nil {
		return "", err
	}
	if err := s.setZone(ctx, 0, zone, true); err != nil {
		return "", err
	}
	time.Sleep(settle)
	executed, before := s.executed(zone), s.load.snapshot()
	time.Sleep(settle)
	late, after := s.executed(zone)-executed, s.load.snapshot()
	if late > 0 {
		return "", fmt.Errorf("%d attempts went to zone %s more than %v after it was taken out", late, zone, settle)
	}
	answers, complete := after.answers-before.answers, after.complete-before.complete
	if answers == 0 || float64(complete) < 0.99*float64(answers) {
		return "", fmt.Errorf("only %d of %d answers are complete while the zone is out", complete, answers)
	}
	return fmt.Sprintf("no attempt in zone %s after %v; %d of %d answers complete meanwhile", zone, settle, complete, answers), nil
}

func (s *session) zoneIn(ctx context.Context) (string, error) {
	zone := zones[1]
	fell := s.fellOver()
	if err := s.setZone(ctx, 1, zone, false); err != nil {
		return "", err
	}
	executed := s.executed(zone)
	if err := until(ctx, stepTimeout, func() error {
		if s.executed(zone) < executed+100 {
			return errors.New("the zone gets no load again")
		}
		return nil
	}); err != nil {
		return "", err
	}
	if n := s.fellOver() - fell; n > 0 {
		return "", fmt.Errorf("searchers were overrun in cold start %d times", n)
	}
	return fmt.Sprintf("zone %s serves again, no searcher was overrun", zone), nil
}

func (s *session) fellOver() int {
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
	if err := command(c.SetAutomation(ctx, &operator.AutomationChange{Paused: paused})); err != nil {
		return err
	}
	return until(ctx, stepTimeout, func() error {
		for i := range s.d.Daemons {
			st, err := s.status(ctx, i)
			if err != nil {
				return err
			}
			if st.Paused != paused {
				return fmt.Errorf("%s has not taken it over", st.VM)
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

// move starts a move and waits for its end.
func (s *session) move(ctx context.Context, name, from, to string) (*operator.MoveStatus, error) {
	c, err := s.d.operatorClient(2)
	if err != nil {
		return nil, err
	}
	spec := &operator.MoveSpec{
		Customer: Customer, Routes: []string{Route}, From: from, To: to, Deadline: time.Now().Add(moveTime),
	}
	if err := command(c.StartMove(ctx, spec, operator.StartMoveParams{Move: name})); err != nil {
		return nil, err
	}
	var found operator.MoveStatus
	err = until(ctx, moveTime+stepTimeout, func() error {
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
	m, err := s.move(ctx, "demo-good", "v1", "v2")
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
	m, err := s.move(ctx, "demo-bad", "v2", badVersion)
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
		time.Sleep(poll)
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
