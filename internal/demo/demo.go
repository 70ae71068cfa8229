// Package demo runs a whole deployment in one process: the stand-ins and several daemons
// as library instances on loopback.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock"
	"github.com/gooseberrylock/gooseberrylock/api/operator"
	storeapi "github.com/gooseberrylock/gooseberrylock/api/store"
	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/settings"
	"github.com/gooseberrylock/gooseberrylock/standin"
)

// Names and sizes of the demo's deployment.
const (
	Customer = "haugland"
	Route    = "portal-search"
	Shards   = 6
	replicas = 2
)

// Versions are the versions of the route. v2 works as well as v1; v3 fails one attempt in five.
var Versions = []string{"v1", "v2", "v3"}

// badVersion is the version whose searchers fail the share badFailShare of their attempts.
const (
	badVersion   = "v3"
	badFailShare = 0.2
)

var zones = []string{"vestland-a", "vestland-b", "vestland-c", "vestland-d"}

// Config holds the settings of a demo.
type Config struct {
	Daemons int       // number of daemons
	Log     io.Writer // logs of the daemons
}

// Demo is a deployment that runs in this process.
type Demo struct {
	Store     *standin.Store
	Searchers map[string]*standin.Searcher // by backend server ID
	Daemons   []*gooseberrylock.Daemon

	zoneOf   map[string]string // zone by backend server ID
	template string
	servers  []*http.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu   sync.Mutex
	errs []error
}

// Start starts the stand-ins and the daemons. They run until Close; the daemons also stop when
// ctx is done.
func Start(ctx context.Context, cfg Config) (*Demo, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Demo{
		Store:     standin.NewStore(nil),
		Searchers: make(map[string]*standin.Searcher),
		zoneOf:    make(map[string]string),
		cancel:    cancel,
	}
	storeURL, err := d.serve(d.Store.Handler())
	if err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startSearchers(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startDaemons(ctx, cfg, "http://"+storeURL); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// serve starts an HTTP server on loopback and returns its address.
func (d *Demo) serve(h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, srv)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			d.addError(err)
		}
	}()
	return lis.Addr().String(), nil
}

// addError records an error for Close to return.
func (d *Demo) addError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errs = append(d.errs, err)
}

// startSearchers starts the searchers of all versions and builds the template that names them.
func (d *Demo) startSearchers() error {
	var versions []string
	for _, v := range Versions {
		var shards []string
		for s := range Shards {
			servers, err := d.startShard(v, s)
			if err != nil {
				return err
			}
			shards = append(shards, fmt.Sprintf("        {\"shard\": \"s%d\", \"backendServers\": [\n%s]}", s, servers))
		}
		versions = append(versions, fmt.Sprintf(`      {"version": %q, "epoch": 1,
       "limits": {"slots": 3, "connections": 30, "connectCost": "6ms", "coldSlots": 1},
       "shards": [
%s]}`, v, strings.Join(shards, ",\n")))
	}
	d.template = fmt.Sprintf(`// Template of the demo's customer.
{
  "customer": %q,
  "zones": ["vestland-a", "vestland-b", "vestland-c", "vestland-d"],
  "routes": [{
    "route": %q, "timeout": "1s", "attemptTimeout": "500ms", "coverageFloor": 0.5,
    "classes": ["suggest", "portal", "archive"], "defaultClass": "portal",
    "hedge": {"percentile": 0.95, "budget": 0.03},
    "stableVersion": "v1",
    "versions": [
%s],
  }],
}
`, Customer, Route, strings.Join(versions, ",\n"))
	return nil
}

// startShard starts the searchers of one shard and returns their entries in the template.
func (d *Demo) startShard(version string, shard int) (string, error) {
	var list []string
	for r := range replicas {
		id := fmt.Sprintf("%s-s%d-%d", version, shard, r)
		cfg := standin.SearcherConfig{
			ID: id, Slots: 3, ColdSlots: 1, WarmAfter: 20, Hits: 5,
			Median: 3 * time.Millisecond, Sigma: 0.4, SlowShare: 0.01,
		}
		if version == badVersion {
			cfg.FailShare = badFailShare
		}
		s := standin.NewSearcher(cfg)
		address, err := d.serve(s.Handler())
		if err != nil {
			return "", err
		}
		d.Searchers[id] = s
		d.zoneOf[id] = zones[(shard+r)%len(zones)]
		list = append(list, fmt.Sprintf("          {\"id\": %q, \"zone\": %q, \"address\": %q}", id, d.zoneOf[id], address))
	}
	return strings.Join(list, ",\n"), nil
}

func (d *Demo) startDaemons(ctx context.Context, cfg Config, storeURL string) error {
	var vms []storeapi.VM
	for i := range cfg.Daemons {
		daemon, err := d.newDaemon(cfg, i, storeURL)
		if err != nil {
			return err
		}
		d.Daemons = append(d.Daemons, daemon)
		vms = append(vms, storeapi.VM{
			Name:    fmt.Sprintf("entry-%d", i),
			Zone:    zones[i%len(zones)],
			Address: daemon.PeerAddress(),
		})
	}
	d.Store.SetVMs(vms)
	for _, daemon := range d.Daemons {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if err := daemon.Run(ctx); err != nil {
				d.addError(err)
			}
		}()
	}
	return nil
}

func (d *Demo) newDaemon(cfg Config, i int, storeURL string) (*gooseberrylock.Daemon, error) {
	text := fmt.Sprintf(`{
  "vm": "entry-%d", "group": "vestland", "zone": %q,
  "addresses": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
  "store": {"url": %q},
  "traffic": {"workers": 2},
}`, i, zones[i%len(zones)], storeURL)
	s, err := settings.Parse(fmt.Sprintf("entry-%d", i), []byte(text))
	if err != nil {
		return nil, err
	}
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: log.IOWriter{Writer: cfg.Log}}
	return gooseberrylock.New(gooseberrylock.Config{Settings: *s, Log: logger})
}

// Close stops the daemons and the stand-ins without draining, and returns the errors with which
// any of them ended.
func (d *Demo) Close() error {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Join(d.errs...)
}

// Template returns the text of the demo's template.
func (d *Demo) Template() string { return d.template }

// noToken implements operator.SecuritySource; the demo's daemons need no token.
type noToken struct{}

// Token implements operator.SecuritySource.
func (noToken) Token(context.Context, operator.OperationName) (operator.Token, error) {
	return operator.Token{}, ogenerrors.ErrSkipClientSecurity
}

// operatorClient returns a client for the operator address of daemon i.
func (d *Demo) operatorClient(i int) (*operator.Client, error) {
	return operator.NewClient("http://"+d.Daemons[i].OperatorAddress(), noToken{})
}

// Apply applies the demo's template through the first daemon.
func (d *Demo) Apply(ctx context.Context) error {
	c, err := d.operatorClient(0)
	if err != nil {
		return err
	}
	res, err := c.ApplyTemplate(ctx, &operator.TemplateText{Text: d.template}, operator.ApplyTemplateParams{Customer: Customer})
	if err != nil {
		return err
	}
	if res.Code != operator.CommandResultCodeOk {
		return fmt.Errorf("apply: %s: %s", res.Code, res.Message.Or(""))
	}
	return nil
}

// Search searches the demo's route through daemon i, by a direct call instead of HTTP.
func (d *Demo) Search(ctx context.Context, i int, query string) (*model.Answer, error) {
	return d.Daemons[i].Do(ctx, model.Request{
		Route:       model.Route{Customer: Customer, Route: Route},
		Kind:        model.KindSearch,
		MinCoverage: -1,
		Limit:       10,
		Payload:     []byte(query),
	})
}
