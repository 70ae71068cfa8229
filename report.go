package gooseberrylock

import (
	api "github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
)

// moveToAPI converts a report on a move to the operator API.
func moveToAPI(r *moves.Report) api.MoveStatus {
	m := &r.Move
	out := api.MoveStatus{
		Name:           m.Name,
		Customer:       string(m.Customer),
		Routes:         []string{},
		From:           string(m.From),
		To:             string(m.To),
		Phase:          api.MoveStatusPhase(m.Phase),
		Share:          r.Share,
		Deadline:       m.Deadline,
		Withheld:       r.Withheld,
		RoutesEvidence: []api.RouteEvidence{},
	}
	if !m.Start.IsZero() {
		out.Started = api.NewOptDateTime(m.Start)
	}
	if !m.Ended.IsZero() {
		out.Ended = api.NewOptDateTime(m.Ended)
	}
	if m.Reason != "" {
		out.Reason = api.NewOptString(m.Reason)
	}
	for _, route := range m.Routes {
		out.Routes = append(out.Routes, string(route))
	}
	for _, e := range r.Routes {
		out.RoutesEvidence = append(out.RoutesEvidence, api.RouteEvidence{
			Route:          string(e.Route),
			NewRequests:    int64(e.New),
			OldRequests:    int64(e.Old),
			Pairs:          int64(e.Failures.Pairs),
			FailedNewWorse: int64(e.Failures.NewWorse),
			FailedOldWorse: int64(e.Failures.OldWorse),
			SlowNewWorse:   int64(e.Slow.NewWorse),
			SlowOldWorse:   int64(e.Slow.OldWorse),
		})
	}
	return out
}

// statusToAPI converts the status of a daemon to the operator API.
func statusToAPI(s *core.Status) *api.Status {
	out := &api.Status{
		VM:             string(s.VM),
		Boot:           s.Boot.String(),
		Zone:           string(s.Zone),
		Revision:       int64(s.Revision),
		StoreUp:        s.StoreUp,
		RosterRevision: int64(s.RosterRevision),
		Draining:       s.Draining,
		Paused:         s.Automation.Paused,
		ZonesOut:       []string{},
		OwnedShards:    s.OwnedShards,
		WantedShards:   s.WantedShards,
		Members:        []api.Member{},
		Overrides:      []string{},
	}
	if s.Automation.Paused && !s.Automation.Until.IsZero() {
		out.PausedUntil = api.NewOptDateTime(s.Automation.Until)
	}
	for _, z := range s.ZonesOut {
		out.ZonesOut = append(out.ZonesOut, string(z))
	}
	for _, o := range s.Overrides {
		out.Overrides = append(out.Overrides, o.String())
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, api.Member{
			VM:       string(m.VM),
			Zone:     string(m.Zone),
			Address:  api.NewOptString(m.Address),
			Alive:    m.Alive,
			Voter:    m.Voter,
			Revision: int64(m.Revision),
		})
	}
	return out
}
