package forward

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/peer/forward/forwardpb"
)

// EncodeAnswer encodes an effect on a forwarded query for the VM that forwarded it: AcceptForward,
// DeclineForward, Refuse or GatheredReply. id is the ID that this VM chose for the query. Any other
// effect is an error.
func EncodeAnswer(id uint64, e dispatch.Effect) (*forwardpb.Answer, error) {
	m := &forwardpb.Answer{Id: id}
	switch e := e.(type) {
	case dispatch.AcceptForward:
		m.Outcome = &forwardpb.Answer_Accepted{Accepted: true}
		m.Version = e.Version
	case dispatch.DeclineForward:
		m.Outcome = &forwardpb.Answer_Declined{Declined: true}
		m.Version = e.Version
		m.Reason = e.Reason
	case dispatch.Refuse:
		m.Outcome = &forwardpb.Answer_Refused{Refused: true}
		m.Code = uint32(e.Code)
		m.Reason = e.Reason
		m.RetryAfterMicros = uint64(e.RetryAfter.Microseconds())
	case dispatch.GatheredReply:
		m.Outcome = &forwardpb.Answer_Gathered{Gathered: true}
		m.Version = e.Version
		m.Signatures = e.Signatures
		m.Missing = uint32(e.Missing)
		m.Body = e.Body
	default:
		return nil, eris.Errorf("encode the answer to forwarded query %d: a %T cannot be sent to another VM", id, e)
	}
	return m, nil
}

// decodeAnswer returns the event for an answer of a sender. An answer that this build does not know counts
// as a failure of the query, which may have run.
func decodeAnswer(m *forwardpb.Answer) dispatch.Event {
	id := model.QueryID(m.GetId())
	switch m.GetOutcome().(type) {
	case *forwardpb.Answer_Accepted:
		return dispatch.ForwardAccepted{Query: id, Version: m.GetVersion()}
	case *forwardpb.Answer_Declined:
		return dispatch.ForwardDeclined{Query: id, Version: m.GetVersion(), Reason: m.GetReason()}
	case *forwardpb.Answer_Refused:
		return dispatch.ForwardAnswered{Query: id, Version: m.GetVersion(), Refusal: decodeRefusal(m)}
	case *forwardpb.Answer_Gathered, nil:
		if len(m.GetSignatures()) > 0 {
			return dispatch.ForwardAnswered{Query: id, Version: m.GetVersion(), Gathered: decodeGathered(m)}
		}
	}
	return dispatch.ForwardAnswered{Query: id, Version: m.GetVersion(), Refusal: &dispatch.Refuse{
		Code: dispatch.CodeFailed, Reason: "its answer has no known form",
	}}
}

func decodeRefusal(m *forwardpb.Answer) *dispatch.Refuse {
	code := dispatch.CodeFailed // of a later build; the query may have run
	if m.GetCode() < uint32(dispatch.Codes) {
		code = dispatch.Code(m.GetCode())
	}
	return &dispatch.Refuse{
		Code:       code,
		Reason:     m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
	}
}

func decodeGathered(m *forwardpb.Answer) *dispatch.GatheredReply {
	return &dispatch.GatheredReply{
		Version:    m.GetVersion(),
		Signatures: m.GetSignatures(),
		Missing:    int(m.GetMissing()),
		Body:       m.GetBody(),
	}
}
