package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// peer is what this VM knows of another one.
type peer struct {
	vm            model.VM
	boot          model.Boot
	retired       []model.Boot
	address       string
	listed        bool
	listedLeaving bool
	known         model.Time // first mention

	// Contents of the last heartbeat.
	heard      bool
	lastHeard  model.Time // first mention if never heard
	aliveSince model.Time
	sequence   uint64
	roster     uint64
	applied    []appliedRevision // oldest first
	leaving    bool
	abstains   bool
	abstained  model.Time // when the last boot that abstained was first known to

	// The promise given to the peer. It outlives a change of boot, because attempts of the
	// former boot may still run.
	supported    model.Boot
	sentAt       model.Time // send time to echo, by the peer's clock
	supportUntil model.Time
	notSince     model.Time // last time at which the peer was known not to be supported
	former       model.Boot // boot supported before the present one
	formerUntil  model.Time

	// What the peer states, dated by the send times of this VM that it echoes.
	echo        model.Time
	echoCurrent model.Time // like echo, by heartbeats that use the roster in use now
	states      map[model.VM]*statement
}

// appliedRevision is an object version with the time at which the peer was first known to
// have applied it.
type appliedRevision struct {
	revision uint64
	at       model.Time
}

// statement is what one peer states of one VM: the last time of each kind of statement.
type statement struct {
	against  model.Time // not supported
	boot     model.Boot // last boot stated as supported
	at       model.Time
	former   model.Boot // boot stated as supported before that
	formerAt model.Time
}

func newPeer(vm model.VM, now model.Time) *peer {
	return &peer{
		vm:           vm,
		known:        now,
		lastHeard:    now,
		supportUntil: longAgo,
		notSince:     longAgo,
		formerUntil:  longAgo,
		echo:         longAgo,
		echoCurrent:  longAgo,
		abstained:    longAgo,
		states:       make(map[model.VM]*statement),
	}
}

// accepts reports whether the heartbeat is newer than what is known. A late heartbeat of a
// former boot may have displaced the present one, whose order is not known; the former one
// then falls silent, and the present one is accepted again.
func (p *peer) accepts(hb *event.Heartbeat, now model.Time, grace time.Duration) bool {
	if hb.Boot == p.boot {
		return hb.Sequence > p.sequence
	}
	return !slices.Contains(p.retired, hb.Boot) || !p.aliveAt(now, grace)
}

// reset forgets what a former boot said. The promise to that boot stays.
func (p *peer) reset(boot model.Boot) {
	if p.boot != 0 {
		p.retired = append(p.retired, p.boot)
	}
	if len(p.retired) > maxRetiredBoots {
		p.retired = p.retired[1:]
	}
	p.boot = boot
	p.heard = false
	p.clearStatements()
}

func (p *peer) clearStatements() {
	p.echo = longAgo
	p.echoCurrent = longAgo
	clear(p.states)
}

// apply notes the highest object version that the peer has applied. A lower one after a
// restart replaces what was known.
func (p *peer) apply(revision uint64, now model.Time) {
	n := len(p.applied)
	if n > 0 && p.applied[n-1].revision == revision {
		return
	}
	if n > 0 && p.applied[n-1].revision > revision {
		p.applied = p.applied[:0]
	}
	p.applied = append(p.applied, appliedRevision{revision, now})
}

// appliedBy returns the highest object version that the peer was known to have applied at a
// time, and forgets lower ones.
func (p *peer) appliedBy(at model.Time) uint64 {
	for len(p.applied) > 1 && p.applied[1].at <= at {
		p.applied = p.applied[1:]
	}
	if len(p.applied) == 0 || p.applied[0].at > at {
		return 0
	}
	return p.applied[0].revision
}

func (p *peer) aliveAt(now model.Time, grace time.Duration) bool {
	return p.heard && now < p.lastHeard.Add(grace)
}

// support promises to count the peer as alive until now + grace. voting tells whether the
// statement that ends here, that the peer was not supported, was a vote.
func (p *peer) support(sentAt, now model.Time, grace time.Duration, voting bool) {
	if p.supportUntil <= now && voting {
		p.notSince = now
	}
	if p.supported != p.boot {
		p.former = p.supported
		p.formerUntil = now
		p.supported = p.boot
	}
	p.sentAt = sentAt
	p.supportUntil = max(p.supportUntil, now.Add(grace))
}

func (p *peer) statement(vm model.VM) *statement {
	s, ok := p.states[vm]
	if !ok {
		s = &statement{against: longAgo, at: longAgo, formerAt: longAgo}
		p.states[vm] = s
	}
	return s
}

// update notes a statement of support for a boot, or of no support if boot is 0.
func (s *statement) update(at model.Time, boot model.Boot) {
	if boot == 0 {
		s.against = at
		return
	}
	if boot != s.boot {
		s.former, s.formerAt = s.boot, s.at
		s.boot = boot
	}
	s.at = at
}

// abstained turns statements of support for a boot into statements of no support.
func (s *statement) abstained(boot model.Boot) {
	if s.boot == boot {
		s.against = max(s.against, s.at)
	}
	if s.former == boot {
		s.against = max(s.against, s.formerAt)
	}
}

// lastAgainst returns when the peer last stated that it supports no boot but exempt.
func (s *statement) lastAgainst(exempt model.Boot) model.Time {
	at := s.against
	if exempt == 0 {
		return at
	}
	if s.boot == exempt {
		at = max(at, s.at)
	}
	if s.former == exempt {
		at = max(at, s.formerAt)
	}
	return at
}
