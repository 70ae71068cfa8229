package moves

import (
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Report describes one move with the evidence seen by this VM.
type Report struct {
	Move     model.Move
	Share    float64 // in force on this VM, 0 to 1
	Withheld bool
	Overdue  bool                 // running after its deadline
	Routes   []model.MoveEvidence // summed over all VMs, sorted by route
}

// Reports returns all moves sorted by name.
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
		Routes:   c.totals(m),
	}
}

func (c *Controller) shareInForce(m *model.Move) float64 {
	switch {
	case m.Phase == model.MoveFinished:
		return 1
	case m.Phase.Final() || c.withheld(m):
		return 0
	}
	return share(m)
}

// totals sums the evidence per route.
func (c *Controller) totals(m *model.Move) []model.MoveEvidence {
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
