package peer

import (
	"math"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/peerpb"
	"github.com/gooseberrylock/gooseberrylock/store"
)

func keyToPB(k model.ShardKey) *peerpb.ShardKey {
	return &peerpb.ShardKey{
		Customer: string(k.Customer),
		Route:    string(k.Route.Route),
		Version:  string(k.Version),
		Shard:    string(k.Shard),
	}
}

func keyFromPB(k *peerpb.ShardKey) model.ShardKey {
	return model.ShardKey{
		Route:   model.Route{Customer: model.CustomerID(k.GetCustomer()), Route: model.RouteID(k.GetRoute())},
		Version: model.VersionID(k.GetVersion()),
		Shard:   model.ShardID(k.GetShard()),
	}
}

func ownerToPB(o model.Owner) *peerpb.Owner {
	return &peerpb.Owner{Vm: string(o.VM), Boot: uint64(o.Boot)}
}

func ownerFromPB(o *peerpb.Owner) model.Owner {
	return model.Owner{VM: model.VM(o.GetVm()), Boot: model.Boot(o.GetBoot())}
}

func subRequestToPB(r *model.SubRequest) *peerpb.SubRequest {
	p := &peerpb.SubRequest{
		Query:        uint64(r.Query),
		Run:          r.Run,
		Entry:        string(r.Entry),
		Key:          keyToPB(r.Key),
		Kind:         uint32(r.Kind),
		Class:        uint32(r.Class),
		Snapshot:     uint64(r.Snapshot),
		Epoch:        r.Epoch,
		Owner:        ownerToPB(r.Owner),
		BudgetMicros: r.Budget.Microseconds(),
		Dedupe:       r.Dedupe,
		Repeat:       r.Repeat,
		Limit:        uint32(r.Limit),
		Payload:      r.Payload,
	}
	if r.Trace != (model.TraceContext{}) {
		p.TraceId = r.Trace.TraceID[:]
		p.SpanId = r.Trace.SpanID[:]
	}
	return p
}

func subRequestFromPB(p *peerpb.SubRequest) model.SubRequest {
	r := model.SubRequest{
		Query:    model.QueryID(p.GetQuery()),
		Run:      p.GetRun(),
		Entry:    model.VM(p.GetEntry()),
		Key:      keyFromPB(p.GetKey()),
		Kind:     model.Kind(clampToByte(p.GetKind())),
		Class:    model.Class(clampToByte(p.GetClass())),
		Snapshot: model.Snapshot(p.GetSnapshot()),
		Epoch:    p.GetEpoch(),
		Owner:    ownerFromPB(p.GetOwner()),
		Budget:   microsToDuration(p.GetBudgetMicros()),
		Dedupe:   p.GetDedupe(),
		Repeat:   p.GetRepeat(),
		Limit:    int(p.GetLimit()),
		Payload:  p.GetPayload(),
	}
	copy(r.Trace.TraceID[:], p.GetTraceId())
	copy(r.Trace.SpanID[:], p.GetSpanId())
	return r
}

func subReplyToPB(r *model.SubReply) *peerpb.SubReply {
	p := &peerpb.SubReply{
		Query:    uint64(r.Query),
		Run:      r.Run,
		Key:      keyToPB(r.Key),
		Outcome:  uint32(r.Outcome),
		Snapshot: uint64(r.Snapshot),
		Oldest:   uint64(r.Oldest),
		Newest:   uint64(r.Newest),
		Server:   string(r.Server),
		Attempts: uint32(r.Attempts),
		Reason:   r.Reason,
		Owner:    ownerToPB(r.Owner),
	}
	p.Hits = hitsToPB(r.Hits)
	return p
}

// hitsToPB allocates all hits of a reply in one slice, to save allocations.
func hitsToPB(list []model.Hit) []*peerpb.Hit {
	if len(list) == 0 {
		return nil
	}
	hits := make([]peerpb.Hit, len(list))
	pointers := make([]*peerpb.Hit, len(list))
	for i := range list {
		h := &hits[i]
		h.Document = list[i].Document
		h.Score = list[i].Score
		h.Body = list[i].Body
		pointers[i] = h
	}
	return pointers
}

func hitsFromPB(list []*peerpb.Hit) []model.Hit {
	if len(list) == 0 {
		return nil
	}
	hits := make([]model.Hit, len(list))
	for i, h := range list {
		hits[i] = model.Hit{Document: h.GetDocument(), Score: h.GetScore(), Body: h.GetBody()}
	}
	return hits
}

func subReplyFromPB(p *peerpb.SubReply) model.SubReply {
	r := model.SubReply{
		Query:    model.QueryID(p.GetQuery()),
		Run:      p.GetRun(),
		Key:      keyFromPB(p.GetKey()),
		Outcome:  model.OutcomeCode(clampToByte(p.GetOutcome())),
		Snapshot: model.Snapshot(p.GetSnapshot()),
		Oldest:   model.Snapshot(p.GetOldest()),
		Newest:   model.Snapshot(p.GetNewest()),
		Server:   model.BackendServerID(p.GetServer()),
		Attempts: int(p.GetAttempts()),
		Reason:   p.GetReason(),
		Owner:    ownerFromPB(p.GetOwner()),
	}
	r.Hits = hitsFromPB(p.GetHits())
	return r
}

func cancelToPB(c *event.Cancel) *peerpb.Cancel {
	return &peerpb.Cancel{Query: uint64(c.Query), Run: c.Run, Key: keyToPB(c.Key)}
}

func cancelFromPB(p *peerpb.Cancel) event.Cancel {
	return event.Cancel{Query: model.QueryID(p.GetQuery()), Run: p.GetRun(), Key: keyFromPB(p.GetKey())}
}

// clampToByte maps values that do not fit into a byte to 255, which has no meaning in any of the
// enumerations. Truncation could yield another valid value.
func clampToByte(v uint32) uint8 { return uint8(min(v, math.MaxUint8)) }

// microsToDuration converts microseconds to a duration, limited to the range of time.Duration.
func microsToDuration(v int64) time.Duration {
	const limit = int64(math.MaxInt64 / time.Microsecond)
	return time.Duration(max(min(v, limit), -limit)) * time.Microsecond
}

// HeartbeatToPB encodes a heartbeat for the wire.
func HeartbeatToPB(h *event.Heartbeat) *peerpb.Heartbeat {
	p := &peerpb.Heartbeat{
		From:     string(h.From),
		Boot:     uint64(h.Boot),
		Zone:     string(h.Zone),
		Address:  h.Address,
		Sequence: h.Sequence,
		SentAt:   int64(h.SentAt),
		Roster:   h.Roster,
		Digest:   h.Digest,
		Revision: h.Revision,
		Leaving:  h.Leaving,
		Abstains: h.Abstains,
		Entry:    h.Entry,
		StoreUp:  h.StoreUp,
	}
	for _, s := range h.Supports {
		p.Supports = append(p.Supports, &peerpb.Support{Vm: string(s.VM), Boot: uint64(s.Boot), SentAt: int64(s.SentAt)})
	}
	for i := range h.Evidence {
		p.Evidence = append(p.Evidence, evidenceToPB(&h.Evidence[i]))
	}
	for i := range h.Overrides {
		p.Overrides = append(p.Overrides, overrideToPB(&h.Overrides[i]))
	}
	return p
}

// HeartbeatFromPB decodes a heartbeat. It omits overrides that this version cannot decode.
func HeartbeatFromPB(p *peerpb.Heartbeat) event.Heartbeat {
	h := event.Heartbeat{
		From:     model.VM(p.GetFrom()),
		Boot:     model.Boot(p.GetBoot()),
		Zone:     model.AvailabilityZone(p.GetZone()),
		Address:  p.GetAddress(),
		Sequence: p.GetSequence(),
		SentAt:   model.Time(p.GetSentAt()),
		Roster:   p.GetRoster(),
		Digest:   p.GetDigest(),
		Revision: p.GetRevision(),
		Leaving:  p.GetLeaving(),
		Abstains: p.GetAbstains(),
		Entry:    p.GetEntry(),
		StoreUp:  p.GetStoreUp(),
	}
	for _, s := range p.GetSupports() {
		h.Supports = append(h.Supports, event.Support{
			VM:     model.VM(s.GetVm()),
			Boot:   model.Boot(s.GetBoot()),
			SentAt: model.Time(s.GetSentAt()),
		})
	}
	for _, e := range p.GetEvidence() {
		h.Evidence = append(h.Evidence, evidenceFromPB(e))
	}
	for _, o := range p.GetOverrides() {
		if v, ok := overrideFromPB(o); ok {
			h.Overrides = append(h.Overrides, v)
		}
	}
	return h
}

func pairsToPB(c model.PairCounts) *peerpb.PairCounts {
	return &peerpb.PairCounts{Pairs: c.Pairs, NewWorse: c.NewWorse, OldWorse: c.OldWorse}
}

func pairsFromPB(p *peerpb.PairCounts) model.PairCounts {
	return model.PairCounts{Pairs: p.GetPairs(), NewWorse: p.GetNewWorse(), OldWorse: p.GetOldWorse()}
}

func ranksToPB(c model.RankCounts) *peerpb.RankCounts {
	return &peerpb.RankCounts{Trials: c.Trials[:], Slowest: c.Slowest[:]}
}

// ranksFromPB leaves out counts of more neighbours than this build compares.
func ranksFromPB(p *peerpb.RankCounts) model.RankCounts {
	var c model.RankCounts
	copy(c.Trials[:], p.GetTrials())
	copy(c.Slowest[:], p.GetSlowest())
	return c
}

func evidenceToPB(e *model.MoveEvidence) *peerpb.MoveEvidence {
	return &peerpb.MoveEvidence{
		Move:        e.Move,
		Route:       string(e.Route),
		Vm:          string(e.VM),
		Boot:        uint64(e.Boot),
		Failures:    pairsToPB(e.Failures),
		Slow:        pairsToPB(e.Slow),
		Ranks:       ranksToPB(e.Ranks),
		NewRequests: e.New,
		OldRequests: e.Old,
		Withheld:    e.Withheld,
	}
}

func evidenceFromPB(p *peerpb.MoveEvidence) model.MoveEvidence {
	return model.MoveEvidence{
		Move:     p.GetMove(),
		Route:    model.RouteID(p.GetRoute()),
		VM:       model.VM(p.GetVm()),
		Boot:     model.Boot(p.GetBoot()),
		Failures: pairsFromPB(p.GetFailures()),
		Slow:     pairsFromPB(p.GetSlow()),
		Ranks:    ranksFromPB(p.GetRanks()),
		New:      p.GetNewRequests(),
		Old:      p.GetOldRequests(),
		Withheld: p.GetWithheld(),
	}
}

// overrideToPB leaves Data empty if the object cannot be encoded; the receiver then omits the
// override.
func overrideToPB(o *event.Override) *peerpb.Override {
	data, err := store.Encode(model.Object{Key: o.Key, Zone: o.Zone, Automation: o.Pause})
	if err != nil {
		data = nil
	}
	return &peerpb.Override{
		Kind:  string(o.Key.Kind),
		Name:  o.Key.Name,
		Base:  o.Base,
		Clock: o.Clock,
		Vm:    string(o.VM),
		Data:  data,
	}
}

// overrideFromPB reports false for an override that cannot be decoded or that sets neither a zone
// nor a pause.
func overrideFromPB(p *peerpb.Override) (event.Override, bool) {
	key := model.ObjectKey{Kind: model.ObjectKind(p.GetKind()), Name: p.GetName()}
	obj, err := store.Decode(key, 0, false, p.GetData())
	if err != nil || obj.Zone == nil && obj.Automation == nil {
		return event.Override{}, false
	}
	return event.Override{
		Key:   key,
		Base:  p.GetBase(),
		Clock: p.GetClock(),
		VM:    model.VM(p.GetVm()),
		Zone:  obj.Zone,
		Pause: obj.Automation,
	}, true
}

func releaseToPB(r *event.Release) *peerpb.Release {
	p := &peerpb.Release{From: string(r.From), Boot: uint64(r.Boot), To: string(r.To)}
	for i := range r.Keys {
		p.Keys = append(p.Keys, releasedKeyToPB(&r.Keys[i]))
	}
	return p
}

// microsRoundedUp converts to microseconds. It rounds up, since a shorter time would free a slot
// that is still in use.
func microsRoundedUp(d time.Duration) int64 {
	micros := d.Microseconds()
	if d > time.Duration(micros)*time.Microsecond {
		micros++
	}
	return micros
}

func releasedKeyToPB(k *event.ReleasedKey) *peerpb.ReleasedKey {
	p := &peerpb.ReleasedKey{Key: keyToPB(k.Key)}
	for _, a := range k.Running {
		p.Running = append(p.Running, &peerpb.Remaining{Server: string(a.Server), LeftMicros: microsRoundedUp(a.Left)})
	}
	for _, s := range k.Submits {
		p.Submits = append(p.Submits, &peerpb.RecentSubmit{
			Dedupe:    s.Dedupe,
			AgeMicros: s.Age.Microseconds(),
			NotRun:    s.NotRun,
		})
	}
	for _, s := range k.Servers {
		p.Servers = append(p.Servers, &peerpb.ServerState{
			Server:    string(s.Server),
			Boot:      uint64(s.Boot),
			Limit:     uint32(s.Limit),
			Successes: uint32(s.Successes),
		})
	}
	return p
}

func releaseFromPB(p *peerpb.Release) event.Release {
	r := event.Release{From: model.VM(p.GetFrom()), Boot: model.Boot(p.GetBoot()), To: model.VM(p.GetTo())}
	for _, k := range p.GetKeys() {
		r.Keys = append(r.Keys, releasedKeyFromPB(k))
	}
	return r
}

func releasedKeyFromPB(p *peerpb.ReleasedKey) event.ReleasedKey {
	k := event.ReleasedKey{Key: keyFromPB(p.GetKey())}
	for _, a := range p.GetRunning() {
		k.Running = append(k.Running, event.Remaining{
			Server: model.BackendServerID(a.GetServer()),
			Left:   microsToDuration(a.GetLeftMicros()),
		})
	}
	for _, s := range p.GetSubmits() {
		k.Submits = append(k.Submits, event.RecentSubmit{
			Dedupe: s.GetDedupe(),
			Age:    microsToDuration(s.GetAgeMicros()),
			NotRun: s.GetNotRun(),
		})
	}
	for _, s := range p.GetServers() {
		k.Servers = append(k.Servers, model.ServerState{
			Server:    model.BackendServerID(s.GetServer()),
			Boot:      model.Boot(s.GetBoot()),
			Limit:     int(s.GetLimit()),
			Successes: int(s.GetSuccesses()),
		})
	}
	return k
}

func objectToPB(o *model.Object) (*peerpb.Object, error) {
	data, err := store.Encode(*o)
	if err != nil {
		return nil, err
	}
	return &peerpb.Object{
		Kind:    string(o.Key.Kind),
		Name:    o.Key.Name,
		Version: o.Version,
		Deleted: o.Deleted,
		Data:    data,
	}, nil
}

func objectFromPB(p *peerpb.Object) (model.Object, error) {
	key := model.ObjectKey{Kind: model.ObjectKind(p.GetKind()), Name: p.GetName()}
	return store.Decode(key, p.GetVersion(), p.GetDeleted(), p.GetData())
}
