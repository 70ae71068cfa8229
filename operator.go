package gooseberrylock

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"

	"github.com/rotisserie/eris"

	api "github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/ingress"
	"github.com/gooseberrylock/gooseberrylock/internal/strictjson"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/template"
)

// operatorServer returns the HTTP server for operators' requests, metrics and profiles.
func (d *Daemon) operatorServer() *http.Server {
	h, err := api.NewServer(&operatorHandler{d: d}, tokenCheck{}, api.WithTracerProvider(d.tracing.provider))
	if err != nil {
		panic(err) // possible only if the generated code is wrong
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", h)
	mux.Handle("GET /metrics", d.metrics.handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return &http.Server{Handler: d.requireToken(ingress.LimitBodies(d.cfg.Settings.Limits.MaxBody, mux))}
}

// errUnauthorized is the reason in the answer to a request with a missing or wrong token.
var errUnauthorized = errors.New("missing or wrong bearer token")

// tokenCheck implements the generated security handler and accepts every token. requireToken checks
// the token instead, because it also covers the handlers that are not generated.
type tokenCheck struct{}

// HandleToken implements api.SecurityHandler.
func (tokenCheck) HandleToken(ctx context.Context, _ api.OperationName, _ api.Token) (context.Context, error) {
	return ctx, nil
}

// requireToken rejects requests without the bearer token of the settings. It passes all requests if
// the settings contain no token.
func (d *Daemon) requireToken(next http.Handler) http.Handler {
	want := "Bearer " + d.cfg.Settings.Operator.Token
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open := d.cfg.Settings.Operator.Token == ""
		if !open && subtle.ConstantTimeCompare([]byte(want), []byte(r.Header.Get("Authorization"))) != 1 {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_ = json.NewEncoder(w).Encode(&api.Error{Step: "authenticate operator", Reason: errUnauthorized.Error()})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operatorHandler implements the generated operator API.
type operatorHandler struct{ d *Daemon }

// inspect calls read on the control goroutine. Errors begin with step.
func (h *operatorHandler) inspect(ctx context.Context, step string, read func(*core.Control)) error {
	return eris.Wrap(h.d.control.inspect(ctx, read), step)
}

func (h *operatorHandler) command(ctx context.Context, body event.Command) (*api.CommandResult, error) {
	res, err := h.d.control.runCommand(ctx, "operator", body)
	if err != nil {
		return nil, err
	}
	out := &api.CommandResult{Code: api.CommandResultCode(res.Code)}
	if res.Message != "" {
		out.Message = api.NewOptString(res.Message)
	}
	if res.Object != nil {
		out.Version = api.NewOptInt64(int64(res.Object.Version))
		if res.Code == effect.CommandConflict {
			out.Current = api.NewOptString(objectText(res.Object))
		}
	}
	return out, nil
}

// objectText returns the content of an object as text for an operator: the text of a template, and
// JSON for a zone, the automation state or a move. It returns "" for other objects.
func objectText(o *model.Object) string {
	if o.Template != nil {
		return o.Template.Text
	}
	var v any
	switch {
	case o.Zone != nil:
		v = o.Zone
	case o.Automation != nil:
		v = o.Automation
	case o.Move != nil:
		v = o.Move
	default:
		return ""
	}
	text, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(text)
}

// ApplyTemplate implements api.Handler.
func (h *operatorHandler) ApplyTemplate(ctx context.Context, req *api.TemplateText, p api.ApplyTemplateParams) (*api.CommandResult, error) {
	t, err := template.Parse(p.Customer, []byte(req.Text))
	if err != nil {
		return invalidResult(err.Error()), nil
	}
	if string(t.Customer) != p.Customer {
		return invalidResult("the template is for customer " + string(t.Customer) + ", not " + p.Customer), nil
	}
	version, given := p.IfVersion.Get()
	if !given {
		obj, _, err := h.template(ctx, p.Customer)
		if err != nil {
			return nil, err
		}
		version = int64(obj.Version)
	}
	return h.command(ctx, event.ApplyTemplate{Template: *t, IfVersion: uint64(version)})
}

func invalidResult(message string) *api.CommandResult {
	return &api.CommandResult{Code: api.CommandResultCode(effect.CommandInvalid), Message: api.NewOptString(message)}
}

func (h *operatorHandler) template(ctx context.Context, customer string) (model.Object, bool, error) {
	var obj model.Object
	var ok bool
	err := h.inspect(ctx, "get template", func(c *core.Control) {
		obj, ok = c.Object(model.ObjectKey{Kind: model.ObjectTemplate, Name: customer})
	})
	return obj, ok, err
}

// GetTemplate implements api.Handler.
func (h *operatorHandler) GetTemplate(ctx context.Context, p api.GetTemplateParams) (*api.TemplateObject, error) {
	obj, ok, err := h.template(ctx, p.Customer)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, &notFoundError{what: "template of customer " + p.Customer}
	}
	return templateToAPI(&obj), nil
}

// notFoundError reports that this daemon has no such object.
type notFoundError struct{ what string }

// Error implements error.
func (e *notFoundError) Error() string { return e.what + " does not exist" }

func templateToAPI(o *model.Object) *api.TemplateObject {
	return &api.TemplateObject{Customer: o.Key.Name, Version: int64(o.Version), Text: o.Template.Text}
}

// ListTemplates implements api.Handler.
func (h *operatorHandler) ListTemplates(ctx context.Context) (*api.TemplateList, error) {
	out := &api.TemplateList{Templates: []api.TemplateObject{}}
	err := h.inspect(ctx, "list templates", func(c *core.Control) {
		for _, o := range c.Objects(model.ObjectTemplate) {
			out.Templates = append(out.Templates, *templateToAPI(&o))
		}
	})
	return out, err
}

// SetZone implements api.Handler.
func (h *operatorHandler) SetZone(ctx context.Context, req *api.ZoneChange, p api.SetZoneParams) (*api.CommandResult, error) {
	return h.command(ctx, event.SetZone{
		Zone:   model.AvailabilityZone(p.Zone),
		Out:    req.Out,
		Reason: req.Reason.Or(""),
	})
}

// SetAutomation implements api.Handler.
func (h *operatorHandler) SetAutomation(ctx context.Context, req *api.AutomationChange) (*api.CommandResult, error) {
	cmd := event.SetPause{Paused: req.Paused, Reason: req.Reason.Or("")}
	if until, ok := req.Until.Get(); ok {
		cmd.Until = until
	}
	return h.command(ctx, cmd)
}

// StartMove implements api.Handler.
func (h *operatorHandler) StartMove(ctx context.Context, req *api.MoveSpec, p api.StartMoveParams) (*api.CommandResult, error) {
	m := model.Move{
		Name:     p.Move,
		Customer: model.CustomerID(req.Customer),
		From:     model.VersionID(req.From),
		To:       model.VersionID(req.To),
		Deadline: req.Deadline,
	}
	for _, r := range req.Routes {
		m.Routes = append(m.Routes, model.RouteID(r))
	}
	return h.command(ctx, event.StartMove{Move: m})
}

// TakeBackMove implements api.Handler.
func (h *operatorHandler) TakeBackMove(ctx context.Context, p api.TakeBackMoveParams) (*api.CommandResult, error) {
	return h.command(ctx, event.TakeBackMove{Name: p.Move, Reason: p.Reason.Or("")})
}

// ListMoves implements api.Handler.
func (h *operatorHandler) ListMoves(ctx context.Context) (*api.MoveList, error) {
	out := &api.MoveList{Moves: []api.MoveStatus{}}
	err := h.inspect(ctx, "list moves", func(c *core.Control) {
		for _, r := range c.Moves() {
			out.Moves = append(out.Moves, moveToAPI(&r))
		}
	})
	return out, err
}

// GetStatus implements api.Handler.
func (h *operatorHandler) GetStatus(ctx context.Context) (*api.Status, error) {
	var s core.Status
	now := h.d.now()
	if err := h.inspect(ctx, "get status", func(c *core.Control) { s = c.Status(now) }); err != nil {
		return nil, err
	}
	return statusToAPI(&s), nil
}

// Leave implements api.Handler.
func (h *operatorHandler) Leave(context.Context) error {
	go func() {
		if err := h.d.Shutdown(context.Background()); err != nil {
			h.d.log.Error().Err(err).Str("step", "leave").Msg("shutdown failed")
		}
	}()
	return nil
}

// NewError implements api.Handler.
func (h *operatorHandler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	status := http.StatusInternalServerError
	var notFound *notFoundError
	var fault *strictjson.Error
	switch {
	case errors.As(err, &notFound):
		status = http.StatusNotFound
	case errors.As(err, &fault):
		status = http.StatusBadRequest
	}
	return &api.ErrorStatusCode{
		StatusCode: status,
		Response: api.Error{
			Step:   "operator request",
			Peer:   api.NewOptString(string(h.d.cfg.Settings.VM)),
			Reason: err.Error(),
		},
	}
}
