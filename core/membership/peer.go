package membership

import (
	"slices"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// peer is the state of another VM as known to this one.
type peer struct {
	vm            model.VM
	boot          model.Boot
	formerBoots   []model.Boot
	address       string
	listed        bool
	listedLeaving bool
	firstSeen     model.Time // first heartbeat or appearance in the platform's list

	// State from the heartbeats of the current boot.
	heartbeatReceived bool
	lastHeartbeat     model.Time // firstSeen if there was none
	liveSince         model.Time
	sequence          uint64
	roster            uint64
	applied           []appliedRevision // oldest first
	leaving           bool
	abstains          bool
	abstainedAt       model.Time // when this VM learned that a boot has abstained, for the last such boot

	// Support that this VM grants the peer. It remains valid when the peer restarts, because
	// attempts of the former boot may still be running.
	supportedBoot        model.Boot
	sentAt               model.Time // send time of the peer's last supporting heartbeat, by the peer's clock
	supportUntil         model.Time
	lastUnsupported      model.Time // last time at which this VM did not support the peer
	formerSupportedBoot  model.Boot // boot that was supported before supportedBoot
	formerSupportedUntil model.Time

	// Statements of the peer, dated by the send times of this VM that the peer echoes.
	lastEcho         model.Time
	lastEchoOfRoster model.Time // like lastEcho, but only from heartbeats that use the current roster
	statements       map[model.VM]*statement
}

// appliedRevision is an object version that a peer has applied, and the time when this VM
// learned so.
type appliedRevision struct {
	revision uint64
	at       model.Time
}

// statement holds the last statements of one peer on its support for one VM.
type statement struct {
	unsupportedAt     model.Time // last statement of no support
	supportedBoot     model.Boot // boot in the last statement of support
	supportedAt       model.Time // last statement of support for supportedBoot
	formerBoot        model.Boot // boot that was supported before supportedBoot
	formerSupportedAt model.Time // last statement of support for formerBoot
}

func newPeer(vm model.VM, now model.Time) *peer {
	return &peer{
		vm:                   vm,
		firstSeen:            now,
		lastHeartbeat:        now,
		supportUntil:         distantPast,
		lastUnsupported:      distantPast,
		formerSupportedUntil: distantPast,
		lastEcho:             distantPast,
		lastEchoOfRoster:     distantPast,
		abstainedAt:          distantPast,
		statements:           make(map[model.VM]*statement),
	}
}

// accepts reports whether the heartbeat is to be processed: it is newer than the last one of the
// same boot, or its boot is not a former one. Boots have no known order, so a late heartbeat of
// an earlier boot can turn the running boot into a former one. Former boots are therefore
// accepted again when no heartbeat has arrived for Grace.
func (p *peer) accepts(hb *event.Heartbeat, now model.Time, grace time.Duration) bool {
	if hb.Boot == p.boot {
		return hb.Sequence > p.sequence
	}
	return !slices.Contains(p.formerBoots, hb.Boot) || !p.liveAt(now, grace)
}

// reset discards the state received from the former boot. Support granted to that boot stays
// valid.
func (p *peer) reset(boot model.Boot) {
	if p.boot != 0 {
		p.formerBoots = append(p.formerBoots, p.boot)
	}
	if len(p.formerBoots) > maxFormerBoots {
		p.formerBoots = p.formerBoots[1:]
	}
	p.boot = boot
	p.heartbeatReceived = false
	p.clearStatements()
}

func (p *peer) clearStatements() {
	p.lastEcho = distantPast
	p.lastEchoOfRoster = distantPast
	clear(p.statements)
}

// recordApplied records the highest object version that the peer has applied. A lower version
// means that the peer has restarted, and replaces the recorded ones.
func (p *peer) recordApplied(revision uint64, now model.Time) {
	n := len(p.applied)
	if n > 0 && p.applied[n-1].revision == revision {
		return
	}
	if n > 0 && p.applied[n-1].revision > revision {
		p.applied = p.applied[:0]
	}
	p.applied = append(p.applied, appliedRevision{revision, now})
}

// appliedBy returns the highest object version that the peer is known to have applied by the
// time at, or 0. It drops the records of lower versions.
func (p *peer) appliedBy(at model.Time) uint64 {
	for len(p.applied) > 1 && p.applied[1].at <= at {
		p.applied = p.applied[1:]
	}
	if len(p.applied) == 0 || p.applied[0].at > at {
		return 0
	}
	return p.applied[0].revision
}

// liveAt reports whether the last heartbeat is less than grace ago.
func (p *peer) liveAt(now model.Time, grace time.Duration) bool {
	return p.heartbeatReceived && now < p.lastHeartbeat.Add(grace)
}

// grantSupport supports the current boot of the peer until now + grace. mayVote is the result
// of Tracker.mayVote; if it is false, this VM has made no statements since its start.
func (p *peer) grantSupport(sentAt, now model.Time, grace time.Duration, mayVote bool) {
	if p.supportUntil <= now && mayVote {
		p.lastUnsupported = now
	}
	if p.supportedBoot != p.boot {
		p.formerSupportedBoot = p.supportedBoot
		p.formerSupportedUntil = now
		p.supportedBoot = p.boot
	}
	p.sentAt = sentAt
	p.supportUntil = max(p.supportUntil, now.Add(grace))
}

func (p *peer) statementOn(vm model.VM) *statement {
	s, ok := p.statements[vm]
	if !ok {
		s = &statement{unsupportedAt: distantPast, supportedAt: distantPast, formerSupportedAt: distantPast}
		p.statements[vm] = s
	}
	return s
}

// record records a statement of support for a boot, or of no support if boot is 0.
func (s *statement) record(at model.Time, boot model.Boot) {
	if boot == 0 {
		s.unsupportedAt = at
		return
	}
	if boot != s.supportedBoot {
		s.formerBoot, s.formerSupportedAt = s.supportedBoot, s.supportedAt
		s.supportedBoot = boot
	}
	s.supportedAt = at
}

// recordAbstained turns the statements of support for a boot into statements of no support.
func (s *statement) recordAbstained(boot model.Boot) {
	if s.supportedBoot == boot {
		s.unsupportedAt = max(s.unsupportedAt, s.supportedAt)
	}
	if s.formerBoot == boot {
		s.unsupportedAt = max(s.unsupportedAt, s.formerSupportedAt)
	}
}

// lastUnsupported returns when the peer last stated that it supports no boot other than
// exempt. With exempt 0, it returns the last statement of no support.
func (s *statement) lastUnsupported(exempt model.Boot) model.Time {
	at := s.unsupportedAt
	if exempt == 0 {
		return at
	}
	if s.supportedBoot == exempt {
		at = max(at, s.supportedAt)
	}
	if s.formerBoot == exempt {
		at = max(at, s.formerSupportedAt)
	}
	return at
}
