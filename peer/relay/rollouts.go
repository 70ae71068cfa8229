package relay

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

func encodeRollouts(rollouts []directory.RolloutStatus) []*relaypb.Order {
	var orders []*relaypb.Order
	for _, r := range rollouts {
		orders = append(orders, &relaypb.Order{Order: r.Order, AgeMicros: uint64(r.Age.Microseconds()), Withheld: r.Withheld})
	}
	return orders
}

func decodeRollouts(orders []*relaypb.Order) []directory.RolloutStatus {
	var rollouts []directory.RolloutStatus
	for _, o := range orders {
		rollouts = append(rollouts, directory.RolloutStatus{
			Order:    o.GetOrder(),
			Age:      time.Duration(o.GetAgeMicros()) * time.Microsecond,
			Withheld: o.GetWithheld(),
		})
	}
	return rollouts
}

func encodeEvidence(evidence []model.MoveEvidence) []*relaypb.Evidence {
	var out []*relaypb.Evidence
	for _, ev := range evidence {
		out = append(out, &relaypb.Evidence{
			Order:    ev.Move,
			Route:    string(ev.Route),
			Boot:     uint64(ev.Boot),
			Failures: encodePairs(ev.Failures),
			Slow:     encodePairs(ev.Slow),
			Ranks:    &relaypb.Ranks{Trials: ev.Ranks.Trials[:], Slowest: ev.Ranks.Slowest[:]},
			Withheld: ev.Withheld,
		})
	}
	return out
}

// decodeEvidence returns the evidence in a message, attributed to the VM that sent the message.
func decodeEvidence(m *relaypb.FollowRequest) []model.MoveEvidence {
	var evidence []model.MoveEvidence
	for _, ev := range m.GetEvidence() {
		evidence = append(evidence, model.MoveEvidence{
			Move:     ev.GetOrder(),
			Route:    model.RouteID(ev.GetRoute()),
			VM:       model.VM(m.GetVm()),
			Boot:     model.Boot(ev.GetBoot()),
			Failures: decodePairs(ev.GetFailures()),
			Slow:     decodePairs(ev.GetSlow()),
			Ranks:    decodeRanks(ev.GetRanks()),
			Withheld: ev.GetWithheld(),
		})
	}
	return evidence
}

func encodeUsage(usage []model.RolloutUsage) []*relaypb.Usage {
	var out []*relaypb.Usage
	for _, u := range usage {
		out = append(out, &relaypb.Usage{
			Order: u.Order, Boot: uint64(u.Boot), Demand: u.Demand, Requests: u.Requests, Sent: u.Sent, Failed: u.Failed,
			OldSent: u.OldSent, OldFailed: u.OldFailed,
		})
	}
	return out
}

// decodeUsage returns the usage in a message, attributed to the VM that sent the message.
func decodeUsage(m *relaypb.FollowRequest) []model.RolloutUsage {
	var usage []model.RolloutUsage
	for _, u := range m.GetUsage() {
		usage = append(usage, model.RolloutUsage{
			Order: u.GetOrder(), VM: model.VM(m.GetVm()), Boot: model.Boot(u.GetBoot()), Demand: u.GetDemand(), Requests: u.GetRequests(),
			Sent: u.GetSent(), Failed: u.GetFailed(), OldSent: u.GetOldSent(), OldFailed: u.GetOldFailed(),
		})
	}
	return usage
}

// decodeRanks leaves out counts of more neighbours than this build compares.
func decodeRanks(p *relaypb.Ranks) model.RankCounts {
	var c model.RankCounts
	copy(c.Trials[:], p.GetTrials())
	copy(c.Slowest[:], p.GetSlowest())
	return c
}

func encodePairs(c model.PairCounts) *relaypb.Pairs {
	return &relaypb.Pairs{All: c.Pairs, NewWorse: c.NewWorse, OldWorse: c.OldWorse}
}

func decodePairs(p *relaypb.Pairs) model.PairCounts {
	return model.PairCounts{Pairs: p.GetAll(), NewWorse: p.GetNewWorse(), OldWorse: p.GetOldWorse()}
}
