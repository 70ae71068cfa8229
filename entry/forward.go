package entry

import (
	"context"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
)

// handedQuery names a query that an entry VM has handed to this one.
type handedQuery struct {
	stream *forward.Stream
	id     uint64
}

// forwardHandler brings queries of other VMs, and what senders say, to the traffic goroutine.
type forwardHandler struct{ t *Tier }

func (h forwardHandler) put(ev dispatch.Event) {
	select {
	case h.t.inbox <- ev:
	case <-h.t.done:
	}
}

// Event implements forward.Handler.
func (h forwardHandler) Event(ev dispatch.Event) { h.put(ev) }

// Query implements forward.Handler.
func (h forwardHandler) Query(from *forward.Stream, q *forwardpb.Query) {
	t := h.t
	r := decodeQuery(q)
	id := model.QueryID(t.nextID.Add(1))
	key := handedQuery{stream: from, id: q.GetId()}
	t.mu.Lock()
	t.pending[id] = &pending{req: r, span: t.startRequest(withParent(context.Background(), q.GetTraceparent()), r), handed: key}
	t.handed[key] = id
	t.mu.Unlock()
	t.running.Add(1)
	h.put(dispatch.RequestReceived{
		Query: id, CallerID: r.CallerID, Host: r.RouteHost, Path: r.RoutePath, CallerTimeout: r.Patience,
		Forwarded: true, MinVersion: q.GetVersion(), ViewAge: t.age(),
		EntryViewAge: time.Duration(q.GetAgeMicros()) * time.Microsecond,
	})
}

// Gone implements forward.Handler.
func (h forwardHandler) Gone(from *forward.Stream, id uint64) {
	key := handedQuery{stream: from, id: id}
	h.t.mu.Lock()
	query, ok := h.t.handed[key]
	h.t.mu.Unlock()
	if ok {
		h.t.endHanded(query, key)
		h.put(dispatch.CallerGone{Query: query})
	}
}

// Ended implements forward.Handler.
func (h forwardHandler) Ended(from *forward.Stream) {
	h.t.mu.Lock()
	gone := make(map[handedQuery]model.QueryID)
	for key, id := range h.t.handed {
		if key.stream == from {
			gone[key] = id
		}
	}
	h.t.mu.Unlock()
	for key, id := range gone {
		h.t.endHanded(id, key)
		h.put(dispatch.CallerGone{Query: id})
	}
}

// endHanded forgets a query that another VM has handed over.
func (t *Tier) endHanded(id model.QueryID, key handedQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.handed[key]; ok {
		t.pending[id].span.End()
		delete(t.handed, key)
		delete(t.pending, id)
		t.running.Add(-1)
	}
}

// answerHanded answers the VM that handed a query over.
func (t *Tier) answerHanded(id model.QueryID, p *pending, a Answer) {
	p.handed.stream.Put(encodeAnswer(p.handed.id, a))
	t.endHanded(id, p.handed)
}

func (tr *traffic) forward(e dispatch.Forward) {
	p, ok := tr.t.lookup(e.Query)
	if !ok {
		return // the caller has left; its CallerGone waits in the inbox
	}
	q := encodeQuery(e, p.req)
	q.Traceparent = parentOf(p.span)
	tr.t.forward.Send(tr.ctx, e.VM, e.Address, q)
}

// acceptance tells the VM that handed a query over whether it is taken.
func (tr *traffic) acceptance(id model.QueryID, m *forwardpb.Answer) {
	p, ok := tr.t.lookup(id)
	if !ok || p.handed.stream == nil {
		return // that VM no longer waits
	}
	m.Id = p.handed.id
	p.handed.stream.Put(m)
	if m.GetDeclined() {
		tr.t.endHanded(id, p.handed)
	}
}

func encodeQuery(e dispatch.Forward, r *Request) *forwardpb.Query {
	q := &forwardpb.Query{
		Id:             uint64(e.Query),
		CallerId:       r.CallerID,
		Method:         r.Method,
		Target:         r.Target,
		Host:           r.Host,
		Body:           r.Body,
		RouteHost:      r.RouteHost,
		RoutePath:      r.RoutePath,
		PatienceMicros: uint64(max(e.CallerTimeout.Microseconds(), 1)),
		Version:        e.MinVersion,
		AgeMicros:      uint64(max(e.ViewAge.Microseconds(), 0)),
	}
	for name, values := range r.Header {
		q.Headers = append(q.Headers, &forwardpb.Header{Name: name, Values: values})
	}
	return q
}

func decodeQuery(q *forwardpb.Query) *Request {
	r := &Request{
		CallerID:  q.GetCallerId(),
		Method:    q.GetMethod(),
		Target:    q.GetTarget(),
		Host:      q.GetHost(),
		Header:    make(map[string][]string, len(q.GetHeaders())),
		Body:      q.GetBody(),
		RouteHost: q.GetRouteHost(),
		RoutePath: q.GetRoutePath(),
		Patience:  time.Duration(q.GetPatienceMicros()) * time.Microsecond,
	}
	for _, h := range q.GetHeaders() {
		r.Header[h.GetName()] = h.GetValues()
	}
	return r
}

func encodeAnswer(id uint64, a Answer) *forwardpb.Answer {
	m := &forwardpb.Answer{Id: id}
	switch {
	case a.Gathered != nil:
		m.Version = a.Gathered.Version
		m.Signatures = a.Gathered.Signatures
		m.Missing = uint32(a.Gathered.Missing)
		m.Body = a.Gathered.Body
	case a.Refusal != nil:
		m.Refused = true
		m.Code = uint32(a.Refusal.Code)
		m.Reason = a.Refusal.Reason
		m.RetryAfterMicros = uint64(a.Refusal.RetryAfter.Microseconds())
	}
	return m
}
