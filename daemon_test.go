package gooseberrylock

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/phuslu/log"
	"github.com/prometheus/common/expfmt"
	prom "github.com/prometheus/common/model"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/gooseberrylock/gooseberrylock/api/caller"
	"github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/settings"
	"github.com/gooseberrylock/gooseberrylock/standin"
	"github.com/gooseberrylock/gooseberrylock/template"
)

// waitTimeout is the maximum time to wait for a condition.
const waitTimeout = 30 * time.Second

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// newDaemon returns a daemon that listens on the loopback interface and uses the store at storeURL.
// extra is a JSON fragment that is added to its settings.
func newDaemon(t *testing.T, vm, storeURL, extra string, cfg Config) *Daemon {
	t.Helper()
	s, err := settings.Parse(vm, fmt.Appendf(nil, `{
  "vm": %q, "group": "g", "zone": "a", "store": {"url": %q}, "traffic": {"workers": 2, "drainDelay": "0s"}, %s
  "addresses": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
}`, vm, storeURL, extra))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings = *s
	cfg.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	d, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// newStore starts a store stand-in and returns its URL.
func newStore(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(standin.NewStore(nil).Handler())
	t.Cleanup(srv.Close)
	return srv.URL
}

// runDaemon runs a daemon until the end of the test. The channel returns the result of Run.
func runDaemon(t *testing.T, d *Daemon) <-chan error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-d.runDone
	})
	return done
}

// serveTraffic runs a daemon without its control loop until the end of the test, so that the test
// itself sets the view.
func serveTraffic(t *testing.T, d *Daemon) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	callers, operators := d.callerServer(), d.operatorServer()
	done := make(chan error, 3+len(d.workers))
	start := func(f func() error) { go func() { done <- f() }() }
	for _, w := range d.workers {
		start(func() error { return w.run(ctx) })
	}
	start(func() error { return d.network.Serve(d.listeners.peer) })
	start(func() error { return d.serveHTTP("callers", callers, d.listeners.caller) })
	start(func() error { return d.serveHTTP("operators", operators, d.listeners.operator) })
	t.Cleanup(func() {
		_ = callers.Close()
		_ = operators.Close()
		cancel()
		d.network.Close()
		for range cap(done) {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		d.backend.Close()
	})
}

// templateText starts a searcher stand-in for each shard and returns the text of a template with
// them.
func templateText(t *testing.T, shards int) string {
	t.Helper()
	var list []string
	for i := range shards {
		srv := httptest.NewServer(standin.NewSearcher(standin.SearcherConfig{Slots: 2, ColdSlots: 1, Hits: 3}).Handler())
		t.Cleanup(srv.Close)
		list = append(list, fmt.Sprintf(`{"shard": "s%d", "backendServers": [{"id": "b%d", "zone": "a", "address": %q}]}`,
			i, i, srv.Listener.Addr()))
	}
	return fmt.Sprintf(`{"customer": "haugland", "zones": ["a"], "routes": [{
  "route": "portal", "timeout": "20s", "attemptTimeout": "20s", "stableVersion": "v1",
  "versions": [{"version": "v1", "epoch": 1, "limits": {"slots": 2, "connections": 9}, "shards": [%s]}],
}]}`, strings.Join(list, ", "))
}

// publishViews gives each daemon a view in which daemon i owns shard i.
func publishViews(t *testing.T, daemons ...*Daemon) {
	t.Helper()
	tmpl, err := template.Parse("t", []byte(templateText(t, len(daemons))))
	if err != nil {
		t.Fatal(err)
	}
	owners := make(map[model.ShardKey]model.Owner)
	peers := make(map[model.VM]model.Peer)
	keyOf := func(i int) model.ShardKey {
		route := model.Route{Customer: "haugland", Route: "portal"}
		return model.ShardKey{Route: route, Version: "v1", Shard: model.ShardID(fmt.Sprintf("s%d", i))}
	}
	for i, d := range daemons {
		vm, boot := d.cfg.Settings.VM, model.Boot(i+1)
		peers[vm] = model.Peer{VM: vm, Boot: boot, Zone: "a", Address: d.PeerAddress(), Alive: true}
		owners[keyOf(i)] = model.Owner{VM: vm, Boot: boot}
	}
	for i, d := range daemons {
		v := &model.View{
			Self: d.cfg.Settings.VM, Boot: model.Boot(i + 1), Peers: peers, Owners: owners,
			Config: &model.ConfigView{Templates: map[model.CustomerID]*model.Template{"haugland": tmpl}},
			Leases: map[model.ShardKey]model.Lease{keyOf(i): {Until: model.Never, Term: 1, Clean: true}},
		}
		d.metrics.recordView(v)
		for _, w := range d.workers {
			w.enqueue(event.ViewPublished{View: v})
		}
	}
}

func httpGet(t *testing.T, c *http.Client, url, token string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", token)
	}
	res, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// bearer is the token that a client of the operator API sends. If it is "", the client sends none.
type bearer string

// Token implements operator.SecuritySource.
func (b bearer) Token(context.Context, operator.OperationName) (operator.Token, error) {
	if b == "" {
		return operator.Token{}, ogenerrors.ErrSkipClientSecurity
	}
	return operator.Token{Token: string(b)}, nil
}

// TestOperatorToken guards against a path on the operator address, of generated code or not, that
// answers requests without the right token.
func TestOperatorToken(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, "entry-1", newStore(t), `"operator": {"token": "secret"},`, Config{})
	runDaemon(t, d)
	base := "http://" + d.OperatorAddress()
	for _, path := range []string{"/metrics", "/v1/status", "/v1/templates", "/v1/leave", "/debug/pprof/", "/debug/pprof/heap", "/", "/nothing"} {
		for _, token := range []string{"", "secret", "Bearer ", "Bearer wrong", "Bearer secret2", "Basic secret"} {
			code, body := httpGet(t, http.DefaultClient, base+path, token)
			is.Equal(code, http.StatusUnauthorized)
			is.Equal(strings.TrimSpace(body), `{"step":"authenticate operator","reason":"missing or wrong bearer token"}`)
		}
	}
	for _, path := range []string{"/metrics", "/v1/status", "/debug/pprof/"} {
		code, _ := httpGet(t, http.DefaultClient, base+path, "Bearer secret")
		is.Equal(code, http.StatusOK)
	}
	for _, token := range []bearer{"", "wrong"} {
		c, err := operator.NewClient(base, token)
		is.NoErr(err)
		var status *operator.ErrorStatusCode
		_, err = c.SetZone(t.Context(), &operator.ZoneChange{Out: true}, operator.SetZoneParams{Zone: "a"})
		is.True(errors.As(err, &status))
		is.Equal(status.StatusCode, http.StatusUnauthorized)
	}
	c, err := operator.NewClient(base, bearer("secret"))
	is.NoErr(err)
	_, err = c.GetStatus(t.Context())
	is.NoErr(err)
}

// testCA is a certificate authority for one test. It writes its files to dir.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "ca", true)
	return a
}

// issue creates a certificate and key and writes them to name.pem and name.key.
func (a *testCA) issue(t *testing.T, name string, ca bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	parent, signer := a.cert, a.key
	if ca {
		c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func (a *testCA) write(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(a.path(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (a *testCA) path(file string) string { return filepath.Join(a.dir, file) }

// client returns an HTTP client with the certificate issued as name, or without a certificate for "".
func (a *testCA) client(t *testing.T, name string) *http.Client {
	t.Helper()
	s := settings.TLS{CA: a.path("ca.pem")}
	if name != "" {
		s.Cert, s.Key = a.path(name+".pem"), a.path(name+".key")
	}
	cfg, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func newCallerClient(t *testing.T, base string, client *http.Client) *caller.Client {
	t.Helper()
	c, err := caller.NewClient(base, caller.WithClient(client))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestTLS guards against a listener that accepts a client without a certificate of the CA, and
// against failures of daemons, callers or operators to communicate over TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	var daemons []*Daemon
	storeURL := newStore(t)
	for _, name := range []string{"entry-1", "entry-2"} {
		ca.issue(t, name, false)
		extra := fmt.Sprintf(`"tls": {"cert": %q, "key": %q, "ca": %q},`, ca.path(name+".pem"), ca.path(name+".key"), ca.path("ca.pem"))
		d := newDaemon(t, name, storeURL, extra, Config{})
		serveTraffic(t, d)
		daemons = append(daemons, d)
	}
	publishViews(t, daemons...)
	ca.issue(t, "client", false)
	good := ca.client(t, "client")
	a, err := newCallerClient(t, "https://"+daemons[0].CallerAddress(), good).Search(t.Context(),
		&caller.SearchRequest{Query: "logo"}, caller.SearchParams{Customer: "haugland", Route: "portal"})
	is.NoErr(err)
	is.True(a.Complete) // one shard was answered by the other daemon
	code, _ := httpGet(t, good, "https://"+daemons[0].OperatorAddress()+"/metrics", "")
	is.Equal(code, http.StatusOK)

	otherCA := newTestCA(t)
	otherCA.issue(t, "client", false)
	untrusted := otherCA.client(t, "client").Transport.(*http.Transport)
	untrusted.TLSClientConfig.RootCAs = good.Transport.(*http.Transport).TLSClientConfig.RootCAs
	for _, client := range []*http.Client{ca.client(t, ""), {Transport: untrusted}} {
		for _, address := range []string{daemons[0].CallerAddress(), daemons[0].OperatorAddress()} {
			res, err := client.Get("https://" + address + "/healthz")
			if err == nil {
				_ = res.Body.Close()
			}
			is.True(err != nil)
		}
		conn, err := tls.Dial("tcp", daemons[0].PeerAddress(), client.Transport.(*http.Transport).TLSClientConfig)
		if err == nil { // with TLS 1.3 the rejection arrives after the client has finished the handshake
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		var alert *net.OpError
		is.True(errors.As(err, &alert)) // the daemon rejected the certificate
	}
	_, err = http.Get("http://" + daemons[0].CallerAddress() + "/healthz")
	if err == nil {
		code, _ = httpGet(t, http.DefaultClient, "http://"+daemons[0].CallerAddress()+"/healthz", "")
		is.Equal(code, http.StatusBadRequest) // plain HTTP is not served
	}
}

// TestMetrics guards against metrics output that a scraper cannot parse, and against requests that
// are missing from the metrics.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, "entry-1", newStore(t), "", Config{})
	serveTraffic(t, d)
	publishViews(t, d)
	_, err := d.Do(t.Context(), model.Request{Route: model.Route{Customer: "haugland", Route: "portal"}, MinCoverage: -1})
	is.NoErr(err)
	_, err = d.Do(t.Context(), model.Request{Route: model.Route{Customer: "nobody", Route: "portal"}, MinCoverage: -1})
	is.True(err != nil)

	code, body := httpGet(t, http.DefaultClient, "http://"+d.OperatorAddress()+"/metrics", "")
	is.Equal(code, http.StatusOK)
	var all map[string]map[string]any
	is.NoErr(json.Unmarshal([]byte(body), &all))
	is.Equal(all["answers"]["count"], 1.0)

	code, body = httpGet(t, http.DefaultClient, "http://"+d.OperatorAddress()+"/metrics?format=prometheus", "")
	is.Equal(code, http.StatusOK)
	parser := expfmt.NewTextParser(prom.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewBufferString(body))
	is.NoErr(err)
	is.Equal(len(families), len(all))
	is.Equal(families["gooseberrylock_answers_total"].GetMetric()[0].GetCounter().GetValue(), 1.0)
	is.Equal(families["gooseberrylock_attempt_outcome_ok_total"].GetMetric()[0].GetCounter().GetValue(), 1.0)
	is.Equal(families["gooseberrylock_attempt_latency_seconds"].GetMetric()[0].GetSummary().GetSampleCount(), uint64(1))
	is.True(families["gooseberrylock_ownership_leases"] != nil)
}

// TestReadiness guards against a daemon that reports ready without a configuration or during a
// shutdown, and against a shutdown that does not end with its context.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, "entry-1", newStore(t), "", Config{})
	done := runDaemon(t, d)
	base := "http://" + d.CallerAddress()
	code, _ := httpGet(t, http.DefaultClient, base+"/healthz", "")
	is.Equal(code, http.StatusOK)
	code, _ = httpGet(t, http.DefaultClient, base+"/readyz", "")
	is.Equal(code, http.StatusServiceUnavailable)

	c, err := operator.NewClient("http://"+d.OperatorAddress(), bearer(""))
	is.NoErr(err)
	res, err := c.ApplyTemplate(t.Context(), &operator.TemplateText{Text: templateText(t, 1)}, operator.ApplyTemplateParams{Customer: "haugland"})
	is.NoErr(err)
	is.Equal(res.Code, operator.CommandResultCodeOk)
	waitFor(t, "daemon is not ready", func() bool {
		code, _ := httpGet(t, http.DefaultClient, base+"/readyz", "")
		return code == http.StatusOK
	})
	d.leaving.Store(true) // the first step of a shutdown
	code, _ = httpGet(t, http.DefaultClient, base+"/readyz", "")
	is.Equal(code, http.StatusServiceUnavailable)
	code, _ = httpGet(t, http.DefaultClient, base+"/healthz", "")
	is.Equal(code, http.StatusOK)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_ = d.Shutdown(ctx) // returns at the latest after ctx has ended
	is.NoErr(<-done)
	is.True(!d.Ready())
}

// TestTraceSpansAllHops guards against spans that are missing from the trace of a query or that have
// the wrong parent.
func TestTraceSpansAllHops(t *testing.T) {
	is := is.New(t)
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	storeURL := newStore(t)
	one := newDaemon(t, "entry-1", storeURL, "", Config{Tracer: provider})
	two := newDaemon(t, "entry-2", storeURL, "", Config{Tracer: provider})
	serveTraffic(t, one)
	serveTraffic(t, two)
	publishViews(t, one, two)

	const traceID, spanID = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+one.CallerAddress()+"/v1/customers/haugland/routes/portal/search", strings.NewReader(`{"query": "logo"}`))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Traceparent", "00-"+traceID+"-"+spanID+"-01")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	var answer struct {
		Complete bool
		TraceID  string `json:"traceId"`
	}
	is.NoErr(json.NewDecoder(res.Body).Decode(&answer))
	is.True(answer.Complete)
	is.Equal(answer.TraceID, traceID)

	const spans = 6 // the caller's request, the query, and for each shard the owner and the attempt
	waitFor(t, "spans are missing", func() bool { return len(exporter.GetSpans()) >= spans })
	byID := make(map[string]string)
	var chains []string
	for _, s := range exporter.GetSpans() {
		id := s.SpanContext.SpanID()
		byID[hex.EncodeToString(id[:])] = s.Name
	}
	parents := make(map[string]string)
	for _, s := range exporter.GetSpans() {
		is.Equal(s.SpanContext.TraceID().String(), traceID)
		parents[s.SpanContext.SpanID().String()] = s.Parent.SpanID().String()
	}
	for id, name := range byID {
		if name != "attempt" {
			continue
		}
		chain := name
		for id = parents[id]; id != spanID && byID[id] != ""; id = parents[id] {
			chain += " < " + byID[id]
		}
		is.Equal(id, spanID) // the chain ends at the caller's own span
		chains = append(chains, chain)
	}
	is.Equal(len(byID), spans)
	is.Equal(chains, []string{"attempt < owner < entry search < Search", "attempt < owner < entry search < Search"})
	for _, d := range []*Daemon{one, two} {
		is.Equal(len(d.tracing.subRequests), 0) // all spans have ended
	}
}

// TestSpansWithoutReplyEnd guards against a leak of the spans of sub-requests that get no reply,
// because they were cancelled or the connection to the entry daemon was lost.
func TestSpansWithoutReplyEnd(t *testing.T) {
	is := is.New(t)
	exporter := tracetest.NewInMemoryExporter()
	tr, err := newTracing(Config{Tracer: sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))})
	is.NoErr(err)
	list := []model.SubRequest{{Entry: "a", Query: 1}, {Entry: "a", Query: 2}, {Entry: "b", Query: 1}, {Entry: "b", Query: 1}}
	for i := range list {
		list[i].Trace = model.TraceContext{TraceID: [16]byte{1}, SpanID: [8]byte{1}}
	}
	tr.startSubRequests(list)
	is.Equal(len(exporter.GetSpans()), 1) // the first of the two sub-requests with the same ID
	tr.cancelSubRequests("a", []event.Cancel{{Query: 1}})
	tr.endSubRequestsFrom("b")
	is.Equal(len(exporter.GetSpans()), 3)
	tr.endSubRequests("a", []model.SubReply{{Query: 1}, {Query: 2}})
	is.Equal(len(exporter.GetSpans()), 4)
	is.Equal(len(tr.subRequests), 0)
}
