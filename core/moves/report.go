package moves

import (
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Report describes one move with the evidence that this VM holds.
type Report struct {
	Move     model.Move
	Share    float64 // share of queries that this VM sends to the new version, 0 to 1
	Withheld bool
	Overdue  bool                 // running after its deadline
	Routes   []model.MoveEvidence // summed over all VMs, sorted by route
}

// Reports returns a report on every stored move, sorted by name.
func (c *Controller) Reports() []Report {
	list := c.objects.All(model.ObjectMove)
	c.index.update(list)
	var reports []Report
	for _, o := range list {
		if o.Deleted || o.Move == nil {
			continue
		}
		reports = append(reports, c.report(o.Move))
	}
	return reports
}

func (c *Controller) report(m *model.Move) Report {
	return Report{
		Move:     *m,
		Share:    c.shareInForce(m),
		Withheld: !m.Phase.Final() && c.withheld(m),
		Overdue:  overdue(m, c.wall),
		Routes:   c.routeTotals(m),
	}
}

func (c *Controller) shareInForce(m *model.Move) float64 {
	switch {
	case m.Phase == model.MoveFinished:
		return 1
	case m.Phase.Final() || c.withheld(m):
		return 0
	}
	return stageShare(m)
}

// routeTotals returns the evidence on each route, summed over all VMs and sorted by route.
func (c *Controller) routeTotals(m *model.Move) []model.MoveEvidence {
	st, ok := c.moves[m.Name]
	if !ok {
		return nil
	}
	var list []model.MoveEvidence
	for _, id := range m.Routes {
		r, ok := st.routes[id]
		if !ok {
			continue
		}
		e := r.total
		e.Move = m.Name
		e.Route = id
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b model.MoveEvidence) int {
		return strings.Compare(string(a.Route), string(b.Route))
	})
	return list
}
