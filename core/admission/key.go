package admission

import (
	"slices"
	"strings"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// shardKey is the state of one shard key on its owner.
type shardKey struct {
	id model.ShardKey

	leased      bool
	lease       model.Lease
	drained     bool
	drainedTerm uint64     // if drained: this term and all earlier ones are drained
	heldSince   model.Time // start of the current term

	// Configuration; route, version and shard are nil while the key is not configured.
	route   *model.RouteConfig
	version *model.VersionConfig
	shard   *model.ShardConfig
	servers []*server // sorted by ID; includes removed ones with attempts in flight

	pending        map[requestID]*request // neither answered nor withdrawn, by ID
	queue          queue
	running        []*request // requests with attempts in flight, in order of dispatch
	submits        submitLog
	latency        latencyWindow
	hedgeBudget    hedgeBudget
	retryBudget    retryBudget
	serviceTime    average // time for which an attempt occupies a slot, in nanoseconds
	capacity       int     // sum of the server limits at the last call of shed
	hasNewRequests bool    // new requests were queued since the last call of shed

	dueAt    model.Time
	dueIndex int
}

func newShardKey(id model.ShardKey) *shardKey {
	return &shardKey{
		id:          id,
		pending:     make(map[requestID]*request),
		submits:     newSubmitLog(),
		retryBudget: retryBudget{tokens: retryReserve},
		dueIndex:    -1,
	}
}

// serving reports whether attempts may be dispatched for the key: its lease is valid, and the
// term of the lease was not drained.
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

// requestsOf returns the pending requests of an entry daemon, queued ones first.
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

// refresh applies the current view to a key. If reconfigured is set, the configuration may
// differ from the one of the previous view.
func (o *Owner) refresh(k *shardKey, reconfigured bool) {
	lease, leased := o.view.Leases[k.id]
	gained := leased && (!k.leased && k.lease.Term == 0 || lease.Term != k.lease.Term)
	lost := k.leased && !leased
	k.leased = leased
	if leased {
		k.lease = lease
	}
	if gained {
		o.startTerm(k)
	}
	if gained || reconfigured {
		o.configure(k, gained)
	}
	if gained {
		o.applyReleasedStates(k)
		k.addInheritedAttempts(lease.Running)
	}
	if gained || lost || reconfigured || k.queue.len() > 0 {
		o.process(k)
	}
}

// startTerm records the start of a new term. After a clean release, it merges the submits of
// the previous owner.
func (o *Owner) startTerm(k *shardKey) {
	k.heldSince = o.now
	if k.lease.Clean {
		k.submits.merge(k.lease.Submits)
	}
}

// addInheritedAttempts adds the attempts of the previous owner that may still run.
func (k *shardKey) addInheritedAttempts(running []model.RunningAttempt) {
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

// configure applies the configuration of the current view. At the start of a term it leaves
// the cold-start states to applyReleasedStates, which is called afterwards.
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
	k.hedgeBudget.configure(route)
	o.refuseRetriesWithoutServer(k)
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
			s.resetToCold(o.now)
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
		s.resetToCold(o.now)
		o.count(CountColdStarts)
	}
}

// removeServers removes the servers that are not among the replicas. Servers with attempts in
// flight are marked unusable and are removed by a later configuration change.
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

// sameConfig reports whether two configurations are known to be equal: they are the same object or
// have the same digest. A digest of 0 means that there is none.
func sameConfig(a, b *model.ConfigView) bool {
	return a == b || a != nil && b != nil && a.Digest != 0 && a.Digest == b.Digest
}
