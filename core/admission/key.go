package admission

import (
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// shardKey is the state of one shard key.
type shardKey struct {
	id model.ShardKey

	leased      bool
	lease       model.Lease
	drained     bool
	drainedTerm uint64 // if drained: terms up to this one are handed over
	heldSince   model.Time

	// Configuration; route, version and shard are nil while the key is not configured.
	route   *model.RouteConfig
	version *model.VersionConfig
	shard   *model.ShardConfig
	servers []*server // sorted by ID; includes removed ones with attempts in flight

	live     map[requestID]*request // neither answered nor withdrawn
	queue    queue
	running  []*request // with attempts in flight, in order of dispatch
	submits  submitLog
	latency  latencyWindow
	budget   budget
	retries  retryBudget
	service  average // time for which an attempt occupies a slot
	capacity int     // at the last load check
	recheck  bool    // requests were added since the last load check

	dueAt    model.Time
	dueIndex int
}

func newShardKey(id model.ShardKey) *shardKey {
	return &shardKey{
		id:       id,
		live:     make(map[requestID]*request),
		submits:  newSubmitLog(),
		retries:  retryBudget{tokens: retryReserve},
		dueIndex: -1,
	}
}

// serving reports whether attempts may be dispatched for the key.
func (k *shardKey) serving(now model.Time) bool {
	handedOver := k.drained && k.lease.Term <= k.drainedTerm
	return k.leased && now < k.lease.Until && !handedOver
}

func (k *shardKey) inFlight() int {
	n := 0
	for _, s := range k.servers {
		n += s.inFlight
	}
	return n
}

// requestsOf returns the live requests of an entry daemon: queued ones first.
func (k *shardKey) requestsOf(entry model.VM) []*request {
	var found []*request
	for _, list := range [][]*request{k.queue.items, k.running} {
		for _, r := range list {
			if r.sub.Entry == entry && !r.done {
				found = append(found, r)
			}
		}
	}
	return found
}

// refresh applies the current view to a key.
func (o *Owner) refresh(k *shardKey, reconfigured bool) {
	lease, leased := o.view.Leases[k.id]
	gained := leased && (!k.leased && k.lease.Term == 0 || lease.Term != k.lease.Term)
	lost := k.leased && !leased
	k.leased = leased
	if leased {
		k.lease = lease
	}
	if gained {
		o.gain(k)
	}
	if gained || reconfigured {
		o.configure(k, gained)
	}
	if gained {
		o.takeOver(k)
		k.inherit(lease.Running)
	}
	if gained || lost || reconfigured || k.queue.len() > 0 {
		o.settle(k)
	}
}

// gain starts a new term.
func (o *Owner) gain(k *shardKey) {
	k.heldSince = o.now
	if k.lease.Clean {
		k.submits.inherit(k.lease.Submits)
	}
}

func (k *shardKey) inherit(running []model.RunningAttempt) {
	for _, a := range running {
		if s := k.server(a.Server); s != nil {
			s.inherited = append(s.inherited, a.Until)
		}
	}
	for _, s := range k.servers {
		slices.Sort(s.inherited)
	}
}

func (k *shardKey) server(id model.BackendServerID) *server {
	for _, s := range k.servers {
		if s.config.ID == id {
			return s
		}
	}
	return nil
}

// configure applies the configuration in force. At the start of a term, takeOver decides
// the cold-start states afterwards.
func (o *Owner) configure(k *shardKey, gained bool) {
	var epoch uint64
	if k.version != nil {
		epoch = k.version.Epoch
	}
	if o.view.Config == nil {
		return
	}
	route, version, shard, ok := o.view.Config.ShardOf(k.id)
	if !ok {
		k.route, k.version, k.shard = nil, nil, nil
		k.removeServers(nil)
		o.refuseQueued(k, model.OutcomeEpochChanged, "shard not configured")
		return
	}
	k.route, k.version, k.shard = route, version, shard
	k.removeServers(shard.Replicas)
	for i := range shard.Replicas {
		o.configureServer(k, &shard.Replicas[i], gained)
	}
	slices.SortFunc(k.servers, func(a, b *server) int {
		return strings.Compare(string(a.config.ID), string(b.config.ID))
	})
	k.budget.configure(route)
	o.refuseStranded(k)
	if epoch != 0 && epoch != version.Epoch {
		o.refuseQueued(k, model.OutcomeEpochChanged, "partition map changed")
	}
}

func (o *Owner) configureServer(k *shardKey, replica *model.BackendServer, gained bool) {
	usable := o.view.Config.Usable(k.id.Customer, replica)
	s := k.server(replica.ID)
	if s == nil {
		s = &server{config: *replica, usable: usable}
		s.setLimits(k.version.Limits)
		k.servers = append(k.servers, s)
		if !gained {
			s.toCold(o.now)
			o.count(CountColdStarts)
		}
		return
	}
	s.setLimits(k.version.Limits)
	returned := usable && !s.usable
	moved := replica.Address != s.config.Address
	s.config = *replica
	s.usable = usable
	if !gained && (returned || moved) {
		s.toCold(o.now)
		o.count(CountColdStarts)
	}
}

// removeServers takes out the servers that are not among the replicas. Those with
// attempts in flight stay, unusable, until a later change.
func (k *shardKey) removeServers(replicas []model.BackendServer) {
	k.servers = slices.DeleteFunc(k.servers, func(s *server) bool {
		kept := slices.ContainsFunc(replicas, func(b model.BackendServer) bool {
			return b.ID == s.config.ID
		})
		if !kept {
			s.usable = false
		}
		return !kept && s.inFlight == 0
	})
}

// sameConfig reports whether two configurations are known to be equal.
func sameConfig(a, b *model.ConfigView) bool {
	return a == b || a != nil && b != nil && a.Digest != 0 && a.Digest == b.Digest
}
