// Package store reads and writes the configuration objects that are kept in the platform's object
// store. Store is the interface that the daemons use; HTTP implements it with the platform's API.
package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	api "github.com/gooseberrylock/gooseberrylock/api/store"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/quota"
	"github.com/gooseberrylock/gooseberrylock/internal/answers"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Store is the part of the platform's object API that the daemons use.
type Store interface {
	// Get returns an object. The second result is false if the object does not exist or an error
	// occurred. The error wraps ErrUnreadable if the object exists but this build cannot decode it.
	Get(ctx context.Context, key model.ObjectKey) (model.Object, bool, error)
	// Put writes an object if its stored version is ifVersion; 0 means that the object must not
	// exist. The outcome tells whether it was written.
	Put(ctx context.Context, obj model.Object, ifVersion uint64) PutResult
	// List returns the objects that changed after the revision since, sorted by version, and the
	// revision up to which the list is complete. If there are none, it waits up to wait for a
	// change. Objects that this build cannot decode are omitted, so that one of them does not
	// prevent the others from being applied.
	List(ctx context.Context, since uint64, wait time.Duration) ([]model.Object, uint64, error)
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]event.ListedVM, error)
}

// PutResult is the result of Put. For event.WriteOK and event.WriteConflict, Object is the object
// that the store holds now. After a conflict, Object has only the key if the store has no such
// object, or if this build cannot decode it; in the second case Err wraps ErrUnreadable.
type PutResult struct {
	Outcome event.WriteOutcome
	Object  model.Object
	Err     error
}

// HTTP implements Store with the platform's HTTP API.
type HTTP struct {
	client     *api.Client
	url        string
	unreadable UnreadableFunc
}

// UnreadableFunc is called for each object that this build cannot decode. It must not block.
type UnreadableFunc func(key model.ObjectKey, version uint64, err error)

// answerLimits bound the bodies of unfinished answers. A list holds all objects of a group of daemons.
var answerLimits = quota.Config{Total: 32 << 20, PerReply: 32 << 20}

// NewClient returns an HTTP client for NewHTTP that bounds the answers of the store. It limits their heads in
// transport.
func NewClient(transport *http.Transport) *http.Client {
	transport.MaxResponseHeaderBytes = answers.MaxHeaderBytes
	return &http.Client{Transport: answers.NewTransport(transport, answerLimits)}
}

// NewHTTP returns a Store for the API at url. client provides the timeouts and the TLS
// configuration. unreadable may be nil. It returns an error if url cannot be parsed.
func NewHTTP(url string, client *http.Client, unreadable UnreadableFunc) (*HTTP, error) {
	c, err := api.NewClient(url, api.WithClient(client))
	if err != nil {
		return nil, eris.Wrapf(err, "store at %s", url)
	}
	if unreadable == nil {
		unreadable = func(model.ObjectKey, uint64, error) {}
	}
	return &HTTP{client: c, url: url, unreadable: unreadable}, nil
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key model.ObjectKey) (model.Object, bool, error) {
	res, err := h.client.GetObject(ctx, api.GetObjectParams{Kind: string(key.Kind), Name: key.Name})
	if err != nil {
		return model.Object{}, false, h.wrapError(err, "get "+key.String())
	}
	obj, ok := res.(*api.Object)
	if !ok {
		return model.Object{Key: key}, false, nil
	}
	m, err := h.decodeObject(obj)
	return m, err == nil, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, obj model.Object, ifVersion uint64) PutResult {
	data, err := Encode(obj)
	if err == nil && obj.Deleted {
		err = eris.Wrapf(ErrNoContent, "put %s", obj.Key)
	}
	if err != nil {
		return PutResult{Outcome: event.WriteFailed, Err: err}
	}
	res, err := h.client.PutObject(ctx, &api.Value{Data: string(data)}, api.PutObjectParams{
		Kind:      string(obj.Key.Kind),
		Name:      obj.Key.Name,
		IfVersion: int64(ifVersion),
	})
	if err != nil {
		return PutResult{Outcome: putErrorOutcome(err), Err: h.wrapError(err, "put "+obj.Key.String())}
	}
	switch r := res.(type) {
	case *api.Object:
		stored := obj
		stored.Version = uint64(r.Version)
		return PutResult{Outcome: event.WriteOK, Object: stored}
	case *api.Conflict:
		m := model.Object{Key: obj.Key}
		if cur, ok := r.Current.Get(); ok {
			m, err = h.decodeObject(&cur)
		}
		return PutResult{Outcome: event.WriteConflict, Object: m, Err: err}
	}
	return PutResult{Outcome: event.WriteUnknown, Err: eris.Errorf("store at %s: unexpected response %T", h.url, res)}
}

// minRefusalStatus and maxRefusalStatus bound the statuses with which the store refuses a request.
const (
	minRefusalStatus = 400
	maxRefusalStatus = 499
)

// putErrorOutcome classifies the error of a write. The result is WriteFailed only if the error
// proves that nothing was written: no connection was made, or the store refused the request. In all
// other cases the write may have taken effect although the reply was lost.
func putErrorOutcome(err error) event.WriteOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return event.WriteFailed
	}
	var status *api.ErrorStatusCode
	if errors.As(err, &status) && status.StatusCode >= minRefusalStatus && status.StatusCode <= maxRefusalStatus {
		return event.WriteFailed
	}
	return event.WriteUnknown
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, since uint64, wait time.Duration) ([]model.Object, uint64, error) {
	res, err := h.client.ListObjects(ctx, api.ListObjectsParams{
		Since:  int64(since),
		WaitMs: api.NewOptInt64(wait.Milliseconds()),
	})
	if err != nil {
		return nil, 0, h.wrapError(err, "list objects")
	}
	objects := make([]model.Object, 0, len(res.Objects))
	for i := range res.Objects {
		m, err := h.decodeObject(&res.Objects[i])
		if err != nil {
			continue
		}
		objects = append(objects, m)
	}
	return objects, uint64(res.Revision), nil
}

// VMs implements Store.
func (h *HTTP) VMs(ctx context.Context) ([]event.ListedVM, error) {
	res, err := h.client.ListVMs(ctx)
	if err != nil {
		return nil, h.wrapError(err, "list VMs")
	}
	vms := make([]event.ListedVM, 0, len(res.Vms))
	for _, v := range res.Vms {
		vms = append(vms, event.ListedVM{
			VM:      model.VM(v.Name),
			Zone:    model.AvailabilityZone(v.Zone),
			Address: v.Address,
			Leaving: v.Leaving,
		})
	}
	return vms, nil
}

func (h *HTTP) wrapError(err error, operation string) error {
	return eris.Wrapf(err, "store at %s: %s", h.url, operation)
}

// decodeObject decodes an object of the API. On failure it calls the UnreadableFunc and returns an
// object that has only the key.
func (h *HTTP) decodeObject(o *api.Object) (model.Object, error) {
	key := model.ObjectKey{Kind: model.ObjectKind(o.Kind), Name: o.Name}
	m, err := Decode(key, uint64(o.Version), o.Deleted.Or(false), []byte(o.Data))
	if err == nil {
		return m, nil
	}
	h.unreadable(key, uint64(o.Version), err)
	return model.Object{Key: key}, eris.Wrapf(ErrUnreadable, "%s version %d at store %s: %v", key, o.Version, h.url, err)
}
