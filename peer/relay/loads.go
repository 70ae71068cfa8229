package relay

import (
	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

func encodeLoads(loads []model.RouteLoad) []*relaypb.Load {
	var out []*relaypb.Load
	for _, l := range loads {
		out = append(out, &relaypb.Load{Route: l.Route, PerSecond: l.PerSecond})
	}
	return out
}

func decodeLoads(loads []*relaypb.Load) []model.RouteLoad {
	var out []model.RouteLoad
	for _, l := range loads {
		out = append(out, model.RouteLoad{Route: l.GetRoute(), PerSecond: l.GetPerSecond()})
	}
	return out
}

// SendLoads queues the loads of this VM for all upstreams and replaces queued loads that have not been
// sent yet. It does not block.
func (n *Network) SendLoads(e directory.SendLoads) {
	m := &relaypb.FollowRequest{Vm: string(n.self), Loads: encodeLoads(e.Loads), LoadsTold: true, Limited: e.Limited}
	n.queueReport(m, func(u *upstream) chan *relaypb.FollowRequest { return u.loads })
}

// replaceQueued puts a message into a channel of capacity 1, in place of the one that is in it. The caller
// must be the only sender.
func replaceQueued(queue chan *relaypb.FollowRequest, m *relaypb.FollowRequest) {
	select {
	case <-queue:
	default:
	}
	queue <- m
}
