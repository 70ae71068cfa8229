package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	api "github.com/gooseberrylock/gooseberrylock/api/store"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/standin"
	"github.com/gooseberrylock/gooseberrylock/template"
)

// templateText has comments, trailing commas and characters that JSON escapes. The store has to
// return all of them unchanged.
const templateText = `// "quoted" <tag> & \ søk
{"customer": "haugland", "zones": ["a"], "routes": [{
	"route": "r", "timeout": "1s", "attemptTimeout": "1s", "stableVersion": "v1", "versions": [{
		"version": "v1", "epoch": 1, "limits": {"slots": 1, "connections": 2},
		"shards": [{"shard": "s", "backendServers": [{"id": "b", "zone": "a", "address": "127.0.0.1:1"}]}]}]}],
}
`

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 20 * time.Second

// fixture is a stand-in for the store, with the adapter under test and a client for direct access.
type fixture struct {
	standIn    *standin.Store
	url        string
	adapter    *HTTP
	apiClient  *api.Client // writes data that the adapter refuses to write
	unreadable atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{standIn: standin.NewStore(nil)}
	srv := httptest.NewServer(f.standIn.Handler())
	t.Cleanup(srv.Close)
	f.url = srv.URL
	var err error
	f.adapter, err = NewHTTP(srv.URL, srv.Client(), func(model.ObjectKey, uint64, error) { f.unreadable.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	if f.apiClient, err = api.NewClient(srv.URL); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) putRaw(t *testing.T, kind, name, data string) {
	t.Helper()
	if _, err := f.apiClient.PutObject(t.Context(), &api.Value{Data: data}, api.PutObjectParams{Kind: kind, Name: name}); err != nil {
		t.Fatal(err)
	}
}

func key(kind model.ObjectKind, name string) model.ObjectKey {
	return model.ObjectKey{Kind: kind, Name: name}
}

func zoneObject(out bool) model.Object {
	return model.Object{Key: key(model.ObjectZone, "a"), Zone: &model.ZoneState{Zone: "a", Out: out}}
}

// objects returns one object of each kind, with all fields set.
func objects(t *testing.T) []model.Object {
	t.Helper()
	tmpl, err := template.Parse("t", []byte(templateText))
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 4, 8, 30, 0, 123456789, time.UTC)
	list := []model.Object{
		{Key: key(model.ObjectTemplate, "haugland"), Template: tmpl},
		{Key: key(model.ObjectZone, "a"), Zone: &model.ZoneState{Zone: "a", Out: true, Reason: "r", By: "b", At: at}},
		{Key: key(model.ObjectAutomation, model.AutomationName), Automation: &model.AutomationState{Paused: true, Until: at, Reason: "r", By: "b", At: at}},
		{Key: key(model.ObjectRoster, "g"), Roster: &model.Roster{Group: "g", Revision: 1<<64 - 1, VMs: []model.VM{"a", "b"}}},
		{Key: key(model.ObjectMove, "m"), Move: &model.Move{
			Name: "m", Customer: "haugland", Routes: []model.RouteID{"r", "q"}, From: "v1", To: "v2",
			Start: at, Deadline: at.Add(time.Hour), Phase: model.MoveTakenBack, Stage: 3, StageStarted: at.Add(time.Minute),
			StagePairs: []uint64{1, 1 << 60}, Withheld: true, Reason: "r", Ended: at.Add(time.Second), Settled: true,
		}},
	}
	for i := range list {
		list[i].Write = model.WriteID{VM: "entry-1", Boot: 1<<64 - 2, Number: 1<<63 + 1}
		list[i].Base = 7
	}
	return list
}

// zeroFields returns the names of the fields of a struct that are zero. The round trip test uses it
// to detect a new field that objects does not set.
func zeroFields(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			names = append(names, v.Type().Field(i).Name)
		}
	}
	return names
}

// TestRoundTrip guards against a codec that loses a field of an object.
func TestRoundTrip(t *testing.T) {
	f := newFixture(t)
	for _, o := range objects(t) {
		t.Run(string(o.Key.Kind), func(t *testing.T) {
			is := is.New(t)
			for _, v := range []any{o.Template, o.Zone, o.Automation, o.Roster, o.Move} {
				if rv := reflect.ValueOf(v); !rv.IsNil() {
					is.Equal(zeroFields(rv.Elem()), nil) // every field is set
				}
			}
			res := f.adapter.Put(t.Context(), o, 0)
			is.NoErr(res.Err)
			is.Equal(res.Outcome, event.WriteOK)
			got, ok, err := f.adapter.Get(t.Context(), o.Key)
			is.NoErr(err)
			is.True(ok)
			is.Equal(got, res.Object)
			o.Version = got.Version
			is.Equal(got, o)
			if o.Template != nil {
				is.Equal(got.Template.Text, templateText)
			}
		})
	}
}

// TestConditionalWrite guards against a write that replaces a version other than the one that it is
// based on.
func TestConditionalWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := f.adapter.Put(t.Context(), zoneObject(true), 0)
	is.Equal(first.Outcome, event.WriteOK)
	conflict := f.adapter.Put(t.Context(), zoneObject(false), 0)
	is.Equal(conflict.Outcome, event.WriteConflict)
	is.Equal(conflict.Object, first.Object)
	second := f.adapter.Put(t.Context(), zoneObject(false), first.Object.Version)
	is.Equal(second.Outcome, event.WriteOK)
	is.True(second.Object.Version > first.Object.Version)
	missing := f.adapter.Put(t.Context(), model.Object{Key: key(model.ObjectZone, "b"), Zone: &model.ZoneState{}}, 5)
	is.Equal(missing.Outcome, event.WriteConflict)
	is.Equal(missing.Object.Version, uint64(0))
	_, ok, err := f.adapter.Get(t.Context(), key(model.ObjectZone, "b"))
	is.NoErr(err)
	is.True(!ok)
}

// TestWriteOutcomes guards against reporting a write as failed although it may have taken effect.
func TestWriteOutcomes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.standIn.SetFaults(standin.StoreFaults{LoseAnswer: true})
	is.Equal(f.adapter.Put(t.Context(), zoneObject(true), 0).Outcome, event.WriteUnknown)
	f.standIn.SetFaults(standin.StoreFaults{})
	got, ok, err := f.adapter.Get(t.Context(), zoneObject(true).Key)
	is.NoErr(err)
	is.True(ok && got.Zone.Out) // the write took effect

	f.standIn.SetFaults(standin.StoreFaults{Down: true})
	is.Equal(f.adapter.Put(t.Context(), zoneObject(false), got.Version).Outcome, event.WriteUnknown)
	_, _, err = f.adapter.Get(t.Context(), got.Key)
	is.True(err != nil && !errors.Is(err, ErrUnreadable))

	f.standIn.SetFaults(standin.StoreFaults{Delay: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(f.adapter.Put(ctx, zoneObject(false), got.Version).Outcome, event.WriteUnknown)

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(lis.Close())
	down, err := NewHTTP("http://"+lis.Addr().String(), &http.Client{}, nil)
	is.NoErr(err)
	is.Equal(down.Put(t.Context(), zoneObject(true), 0).Outcome, event.WriteFailed) // a refused connection is proof
	is.Equal(down.Put(t.Context(), model.Object{Key: key(model.ObjectZone, "a"), Deleted: true}, 0).Outcome, event.WriteFailed)
}

// TestOddStatusProvesNothing guards against a response whose status is not that of a refusal, and that is taken
// for the store's word that it wrote nothing.
func TestOddStatusProvesNothing(t *testing.T) {
	tests := []struct {
		status string
		want   event.WriteOutcome
	}{
		{"000", event.WriteUnknown},
		{"099", event.WriteUnknown},
		{"399", event.WriteUnknown},
		{"503", event.WriteUnknown},
		{"999", event.WriteUnknown},
		{"400", event.WriteFailed},
		{"429", event.WriteFailed},
	}
	const body = `{"step":"write","reason":"refused"}`
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", tt.status, len(body), body)
			}))
			t.Cleanup(srv.Close)
			h, err := NewHTTP(srv.URL, srv.Client(), nil)
			is.NoErr(err)
			is.Equal(h.Put(t.Context(), zoneObject(true), 0).Outcome, tt.want)
		})
	}
}

// TestWriteSentOnce guards against a write that net/http silently sends again on a new connection.
// If the store applies the first request and then stops, the second is refused, and the refusal
// would wrongly prove that nothing was written.
func TestWriteSentOnce(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	var puts atomic.Int64
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.Method == http.MethodPut {
				_ = lis.Close()
				puts.Add(1)
				return // closes the connection without a reply, as a store that stops does
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"vms\":[]}"))
		}
	}()
	adapter, err := NewHTTP("http://"+lis.Addr().String(), &http.Client{Transport: &http.Transport{}}, nil)
	is.NoErr(err)
	_, err = adapter.VMs(t.Context()) // leaves an idle connection
	is.NoErr(err)
	res := adapter.Put(t.Context(), zoneObject(true), 0)
	is.Equal(puts.Load(), int64(1))
	is.Equal(res.Outcome, event.WriteUnknown)
}

// TestUnreadable guards against an object that cannot be decoded preventing the others from being
// read.
func TestUnreadable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	const write = `{"write":{"VM":"x","Boot":1,"Number":1},"base":0,"value":%}`
	for name, o := range map[string]struct{ kind, data string }{
		"future":   {"quotas", strings.Replace(write, "%", "{}", 1)},
		"bad-json": {string(model.ObjectZone), `{`},
		"empty":    {string(model.ObjectZone), ``},
		"null":     {string(model.ObjectMove), strings.Replace(write, "%", "null", 1)},
		"newer":    {string(model.ObjectTemplate), strings.Replace(write, "%", `"{\"customer\": \"newer\", \"quota\": 3}"`, 1)},
		"other":    {string(model.ObjectTemplate), `{"value": ` + quote(templateText) + `}`}, // belongs to customer haugland
	} {
		f.putRaw(t, o.kind, name, o.data)
	}
	is.Equal(f.adapter.Put(t.Context(), zoneObject(true), 0).Outcome, event.WriteOK)
	list, revision, err := f.adapter.List(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Key, zoneObject(true).Key)
	is.Equal(revision, list[0].Version)
	is.Equal(f.unreadable.Load(), int64(6)) // every unreadable object was reported

	_, ok, err := f.adapter.Get(t.Context(), key(model.ObjectZone, "empty"))
	is.True(!ok && errors.Is(err, ErrUnreadable))
	res := f.adapter.Put(t.Context(), model.Object{Key: key(model.ObjectZone, "empty"), Zone: &model.ZoneState{}}, 0)
	is.Equal(res.Outcome, event.WriteConflict)
	is.Equal(res.Object, model.Object{Key: key(model.ObjectZone, "empty")})
	is.True(errors.Is(res.Err, ErrUnreadable))
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(s) + `"`
}

// TestListWaits guards against a waiting List that misses a change or continues after its context
// is cancelled.
func TestListWaits(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	type result struct {
		list []model.Object
		err  error
	}
	startList := func(ctx context.Context) chan result {
		calls := f.standIn.Calls()
		done := make(chan result, 1)
		go func() {
			list, _, err := f.adapter.List(ctx, 0, waitTimeout)
			done <- result{list, err}
		}()
		for f.standIn.Calls() == calls {
			time.Sleep(time.Millisecond)
		}
		return done
	}
	receive := func(done chan result) result {
		t.Helper()
		select {
		case r := <-done:
			return r
		case <-time.After(waitTimeout / 2):
			t.Fatal("List did not return")
		}
		return result{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := startList(ctx)
	cancel()
	is.True(errors.Is(receive(cancelled).err, context.Canceled))

	outage := startList(t.Context())
	f.standIn.SetFaults(standin.StoreFaults{Down: true})
	is.True(receive(outage).err != nil)
	f.standIn.SetFaults(standin.StoreFaults{})

	changed := startList(t.Context())
	is.Equal(f.adapter.Put(t.Context(), zoneObject(true), 0).Outcome, event.WriteOK)
	r := receive(changed)
	is.NoErr(r.err)
	is.Equal(len(r.list), 1)

	list, revision, err := f.adapter.List(t.Context(), r.list[0].Version, 0)
	is.NoErr(err)
	is.Equal(len(list), 0)
	is.Equal(revision, r.list[0].Version)
}

// TestVMs guards against losing a field of the platform's list of VMs.
func TestVMs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.standIn.SetVMs([]api.VM{{Name: "a", Zone: "z", Address: "127.0.0.1:1", Leaving: true}})
	vms, err := f.adapter.VMs(t.Context())
	is.NoErr(err)
	is.Equal(vms, []event.ListedVM{{VM: "a", Zone: "z", Address: "127.0.0.1:1", Leaving: true}})
}

// TestEncodeWithoutContent guards against a panic, and against writing an empty object to the store.
func TestEncodeWithoutContent(t *testing.T) {
	is := is.New(t)
	for _, kind := range []model.ObjectKind{model.ObjectTemplate, model.ObjectZone, model.ObjectAutomation, model.ObjectMove, model.ObjectRoster} {
		_, err := Encode(model.Object{Key: key(kind, "x")})
		is.True(errors.Is(err, ErrNoContent))
		_, err = Encode(model.Object{Key: key(kind, "x"), Zone: &model.ZoneState{}, Move: &model.Move{}})
		is.Equal(err == nil, kind == model.ObjectZone || kind == model.ObjectMove)
	}
}
