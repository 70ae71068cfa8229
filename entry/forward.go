package entry

import (
	"context"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
)

// forwardedQuery identifies a query that another entry VM has forwarded to this one.
type forwardedQuery struct {
	stream *forward.Stream
	id     uint64 // chosen by the other VM, unique on the stream
}

// forwardHandler passes queries of other VMs, and events from senders, to the traffic goroutine.
type forwardHandler struct{ t *Tier }

func (h forwardHandler) enqueue(ev dispatch.Event) {
	select {
	case h.t.trafficEvents <- ev:
	case <-h.t.done:
	}
}

// Event implements forward.Handler.
func (h forwardHandler) Event(ev dispatch.Event) { h.enqueue(ev) }

// QueryReceived implements forward.Handler.
func (h forwardHandler) QueryReceived(from *forward.Stream, q *forwardpb.Query) {
	t := h.t
	r := decodeQuery(q)
	id := model.QueryID(t.lastID.Add(1))
	key := forwardedQuery{stream: from, id: q.GetId()}
	t.mu.Lock()
	t.pending[id] = &pendingRequest{req: r, span: t.startRequest(withRemoteParent(context.Background(), q.GetTraceparent()), r), forwarded: key}
	t.forwarded[key] = id
	t.mu.Unlock()
	t.running.Add(1)
	h.enqueue(dispatch.RequestReceived{
		Query: id, CallerID: r.CallerID, Host: r.RouteHost, Path: r.RoutePath, CallerTimeout: r.CallerTimeout,
		Forwarded: true, MinVersion: q.GetVersion(), ViewAge: t.viewAge(),
		EntryViewAge: time.Duration(q.GetAgeMicros()) * time.Microsecond,
	})
}

// QueryCancelled implements forward.Handler.
func (h forwardHandler) QueryCancelled(from *forward.Stream, id uint64) {
	key := forwardedQuery{stream: from, id: id}
	h.t.mu.Lock()
	query, ok := h.t.forwarded[key]
	h.t.mu.Unlock()
	if ok {
		h.t.endForwarded(query, key)
		h.enqueue(dispatch.CallerGone{Query: query})
	}
}

// StreamEnded implements forward.Handler.
func (h forwardHandler) StreamEnded(from *forward.Stream) {
	h.t.mu.Lock()
	abandoned := make(map[forwardedQuery]model.QueryID)
	for key, id := range h.t.forwarded {
		if key.stream == from {
			abandoned[key] = id
		}
	}
	h.t.mu.Unlock()
	for key, id := range abandoned {
		h.t.endForwarded(id, key)
		h.enqueue(dispatch.CallerGone{Query: id})
	}
}

// endForwarded ends the span of a forwarded query and removes the query. It does nothing if the
// query has already been removed.
func (t *Tier) endForwarded(id model.QueryID, key forwardedQuery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.forwarded[key]; ok {
		t.pending[id].span.End()
		delete(t.forwarded, key)
		delete(t.pending, id)
		t.running.Add(-1)
	}
}

// answerForwarded sends an effect on a forwarded query to the VM that forwarded it. Every effect but
// AcceptForward ends the query here.
func (t *Tier) answerForwarded(id model.QueryID, p *pendingRequest, e dispatch.Effect) {
	m, err := forward.EncodeAnswer(p.forwarded.id, e)
	if err != nil {
		t.log.Error().Err(err).Str("request", p.req.CallerID).Msg("answer to a forwarded query cannot be encoded")
		m, _ = forward.EncodeAnswer(p.forwarded.id, dispatch.Refuse{Code: dispatch.CodeFailed, Reason: "the answer cannot be sent to another VM"})
	}
	p.forwarded.stream.Send(m)
	if _, accepted := e.(dispatch.AcceptForward); !accepted {
		t.endForwarded(id, p.forwarded)
	}
}

func (tr *traffic) forward(e dispatch.Forward) {
	p, ok := tr.t.lookupPending(e.Query)
	if !ok {
		return // the caller has left; its CallerGone event is still queued
	}
	q := encodeQuery(e, p.req)
	q.Traceparent = traceparentOf(p.span)
	tr.t.forward.Send(tr.ctx, e.VM, e.Address, q)
}

func encodeQuery(e dispatch.Forward, r *Request) *forwardpb.Query {
	q := &forwardpb.Query{
		Id:             uint64(e.Query),
		CallerId:       []byte(r.CallerID),
		Method:         []byte(r.Method),
		Target:         []byte(r.Target),
		Host:           []byte(r.Host),
		Body:           r.Body,
		RouteHost:      []byte(r.RouteHost),
		RoutePath:      []byte(r.RoutePath),
		PatienceMicros: uint64(max(e.CallerTimeout.Microseconds(), 1)),
		Version:        e.MinVersion,
		AgeMicros:      uint64(max(e.ViewAge.Microseconds(), 0)),
	}
	for name, values := range r.Header {
		h := &forwardpb.Header{Name: []byte(name)}
		for _, v := range values {
			h.Values = append(h.Values, []byte(v))
		}
		q.Headers = append(q.Headers, h)
	}
	return q
}

func decodeQuery(q *forwardpb.Query) *Request {
	r := &Request{
		CallerID:      string(q.GetCallerId()),
		Method:        string(q.GetMethod()),
		Target:        string(q.GetTarget()),
		Host:          string(q.GetHost()),
		Header:        make(map[string][]string, len(q.GetHeaders())),
		Body:          q.GetBody(),
		RouteHost:     string(q.GetRouteHost()),
		RoutePath:     string(q.GetRoutePath()),
		CallerTimeout: time.Duration(q.GetPatienceMicros()) * time.Microsecond,
	}
	for _, h := range q.GetHeaders() {
		name := string(h.GetName())
		for _, v := range h.GetValues() {
			r.Header[name] = append(r.Header[name], string(v))
		}
	}
	return r
}
