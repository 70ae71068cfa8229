// Package template parses and validates the templates that operators apply, and converts them to
// model.Template.
package template

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/gooseberrylock/gooseberrylock/internal/strictjson"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Defaults of optional fields. model.RouteConfig and model.Limits describe their units.
const (
	DefaultHedgePercentile = 0.95
	DefaultHedgeBudget     = 0.03
	DefaultColdSlots       = 1
	DefaultWarmAfter       = 50
	DefaultClass           = "default"
)

// maxSize is the size in bytes of the largest value that the platform's store accepts. The template's
// text is stored there as a JSON string, with at most envelopeSize bytes of further fields.
const (
	maxSize      = 1 << 20
	envelopeSize = 512
)

// maxConnections is the largest valid value of connections and slots. One client address has only
// this many TCP ports for its connections to a backend server.
const maxConnections = 65535

// maxWarmAfter is the largest valid value of warmAfter.
const maxWarmAfter = 100000

// Bounds of a route's timeout. The lower one also applies to its attempt timeout.
const (
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// document is a template as it is written in JSON. The types below are its parts.
type document struct {
	Customer string   `json:"customer"`
	Zones    []string `json:"zones"`
	Routes   []route  `json:"routes"`
}

type route struct {
	Route          string              `json:"route"`
	Timeout        strictjson.Duration `json:"timeout"`
	AttemptTimeout strictjson.Duration `json:"attemptTimeout"`
	CoverageFloor  float64             `json:"coverageFloor"`
	Classes        []string            `json:"classes"`
	DefaultClass   string              `json:"defaultClass"`
	Hedge          *hedge              `json:"hedge"`
	StableVersion  string              `json:"stableVersion"`
	Versions       []version           `json:"versions"`
}

type hedge struct {
	Percentile *float64 `json:"percentile"`
	Budget     *float64 `json:"budget"`
}

type version struct {
	Version string  `json:"version"`
	Epoch   uint64  `json:"epoch"`
	Limits  limits  `json:"limits"`
	Shards  []shard `json:"shards"`
}

type limits struct {
	Slots       int                 `json:"slots"`
	Connections int                 `json:"connections"`
	ConnectCost strictjson.Duration `json:"connectCost"`
	ColdSlots   *int                `json:"coldSlots"`
	WarmAfter   *int                `json:"warmAfter"`
}

type shard struct {
	Shard          string          `json:"shard"`
	BackendServers []backendServer `json:"backendServers"`
}

type backendServer struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Parse reads and checks a template in JSON with comments. file is the name used in errors. An error
// is a *strictjson.Error, with the line and the field where they are known.
func Parse(file string, text []byte) (*model.Template, error) {
	if err := checkSize(file, text); err != nil {
		return nil, err
	}
	var doc document
	d, err := strictjson.Decode(file, text, &doc)
	if err != nil {
		return nil, err
	}
	c := &compiler{doc: d, servers: make(map[string]bool), addresses: make(map[netip.AddrPort]string)}
	t, err := c.template(&doc)
	if err != nil {
		return nil, err
	}
	t.Text = string(text)
	return t, nil
}

// checkSize returns an error for a text that is too large for the store.
func checkSize(file string, text []byte) error {
	size := len(text)
	if size <= maxSize {
		// The error is ignored: text that is not UTF-8 fails in decoding, with an error that
		// names the line.
		quoted, _ := jsontext.AppendQuote(nil, text)
		size = len(quoted) + envelopeSize
	}
	if size > maxSize {
		return &strictjson.Error{File: file, Reason: fmt.Sprintf("takes %d bytes as an object in the store, which holds at most %d", size, maxSize)}
	}
	return nil
}

// valueOr returns *p, or fallback if p is nil.
func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}

// compiler validates a document while it builds the model.Template. Its methods take the position of
// the part in the document (indexes or a path) for errors.
type compiler struct {
	doc       *strictjson.Document
	zones     []string                  // zones of the customer
	servers   map[string]bool           // by backend server ID
	addresses map[netip.AddrPort]string // backend server ID by address
}

func (c *compiler) checkName(value string, path ...any) error {
	if !validName.MatchString(value) {
		return c.doc.Fault(fmt.Sprintf("%q is not a name: lower-case letters, digits, '.', '_' and '-', at most 63", value), path...)
	}
	return nil
}

func (c *compiler) template(doc *document) (*model.Template, error) {
	if err := c.checkName(doc.Customer, "customer"); err != nil {
		return nil, err
	}
	if len(doc.Zones) == 0 {
		return nil, c.doc.Fault("at least one availability zone is needed", "zones")
	}
	t := &model.Template{Customer: model.CustomerID(doc.Customer)}
	for i, z := range doc.Zones {
		if err := c.checkName(z, "zones", i); err != nil {
			return nil, err
		}
		if slices.Contains(doc.Zones[:i], z) {
			return nil, c.doc.Fault(fmt.Sprintf("zone %q is listed twice", z), "zones", i)
		}
		t.AllowedZones = append(t.AllowedZones, model.AvailabilityZone(z))
	}
	c.zones = doc.Zones
	if len(doc.Routes) == 0 {
		return nil, c.doc.Fault("at least one route is needed", "routes")
	}
	for i := range doc.Routes {
		r, err := c.route(&doc.Routes[i], i)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(t.Routes, func(o model.RouteConfig) bool { return o.ID == r.ID }) {
			return nil, c.doc.Fault(fmt.Sprintf("route %q is defined twice", r.ID), "routes", i, "route")
		}
		t.Routes = append(t.Routes, *r)
	}
	slices.SortFunc(t.Routes, func(a, b model.RouteConfig) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return t, nil
}

func (c *compiler) route(r *route, i int) (*model.RouteConfig, error) {
	if err := c.checkName(r.Route, "routes", i, "route"); err != nil {
		return nil, err
	}
	out := &model.RouteConfig{
		ID:              model.RouteID(r.Route),
		Timeout:         time.Duration(r.Timeout),
		AttemptTimeout:  time.Duration(r.AttemptTimeout),
		CoverageFloor:   r.CoverageFloor,
		Classes:         r.Classes,
		DefaultClass:    r.DefaultClass,
		StableVersion:   model.VersionID(r.StableVersion),
		HedgePercentile: DefaultHedgePercentile,
		HedgeBudget:     DefaultHedgeBudget,
	}
	if r.Hedge != nil {
		out.HedgePercentile = valueOr(r.Hedge.Percentile, DefaultHedgePercentile)
		out.HedgeBudget = valueOr(r.Hedge.Budget, DefaultHedgeBudget)
	}
	if err := c.checkRoute(out, i); err != nil {
		return nil, err
	}
	if err := c.setClasses(out, i); err != nil {
		return nil, err
	}
	for j := range r.Versions {
		v, err := c.version(&r.Versions[j], i, j)
		if err != nil {
			return nil, err
		}
		if _, ok := out.Version(v.ID); ok {
			return nil, c.doc.Fault(fmt.Sprintf("version %q is defined twice", v.ID), "routes", i, "versions", j, "version")
		}
		out.Versions = append(out.Versions, *v)
	}
	if _, ok := out.Version(out.StableVersion); !ok {
		return nil, c.doc.Fault(fmt.Sprintf("%q is not one of the route's versions", r.StableVersion), "routes", i, "stableVersion")
	}
	return out, nil
}

func (c *compiler) checkRoute(r *model.RouteConfig, i int) error {
	if r.Timeout < minTimeout || r.Timeout > maxTimeout {
		return c.doc.Fault(fmt.Sprintf("must be from %v to %v", minTimeout, maxTimeout), "routes", i, "timeout")
	}
	if r.AttemptTimeout < minTimeout || r.AttemptTimeout > r.Timeout {
		return c.doc.Fault(fmt.Sprintf("must be from %v to the route's timeout of %v", minTimeout, r.Timeout), "routes", i, "attemptTimeout")
	}
	if r.CoverageFloor < 0 || r.CoverageFloor > 1 {
		return c.doc.Fault("must be from 0 to 1", "routes", i, "coverageFloor")
	}
	if r.HedgePercentile <= 0 || r.HedgePercentile >= 1 {
		return c.doc.Fault("must be above 0 and below 1", "routes", i, "hedge", "percentile")
	}
	if r.HedgeBudget < 0 || r.HedgeBudget > 0.5 {
		return c.doc.Fault("must be from 0 to 0.5", "routes", i, "hedge", "budget")
	}
	return nil
}

// setClasses fills in the default classes of a route and checks them.
func (c *compiler) setClasses(r *model.RouteConfig, i int) error {
	if len(r.Classes) == 0 {
		r.Classes = []string{DefaultClass}
	}
	for j, class := range r.Classes {
		if err := c.checkName(class, "routes", i, "classes", j); err != nil {
			return err
		}
		if slices.Contains(r.Classes[:j], class) {
			return c.doc.Fault(fmt.Sprintf("class %q is listed twice", class), "routes", i, "classes", j)
		}
	}
	if r.DefaultClass == "" {
		r.DefaultClass = r.Classes[0]
	}
	if !slices.Contains(r.Classes, r.DefaultClass) {
		return c.doc.Fault(fmt.Sprintf("%q is not one of the route's classes", r.DefaultClass), "routes", i, "defaultClass")
	}
	return nil
}

func (c *compiler) version(v *version, i, j int) (*model.VersionConfig, error) {
	if err := c.checkName(v.Version, "routes", i, "versions", j, "version"); err != nil {
		return nil, err
	}
	if v.Epoch == 0 {
		return nil, c.doc.Fault("must be positive; raise it with every change of shards or backend servers", "routes", i, "versions", j, "epoch")
	}
	l, err := c.limits(&v.Limits, i, j)
	if err != nil {
		return nil, err
	}
	out := &model.VersionConfig{ID: model.VersionID(v.Version), Epoch: v.Epoch, Limits: l}
	if len(v.Shards) == 0 {
		return nil, c.doc.Fault("at least one shard is needed", "routes", i, "versions", j, "shards")
	}
	seen := make(map[model.ShardID]bool, len(v.Shards))
	for k := range v.Shards {
		s, err := c.shard(&v.Shards[k], i, j, k)
		if err != nil {
			return nil, err
		}
		if seen[s.ID] {
			return nil, c.doc.Fault(fmt.Sprintf("shard %q is defined twice", s.ID), "routes", i, "versions", j, "shards", k, "shard")
		}
		seen[s.ID] = true
		out.Shards = append(out.Shards, s)
	}
	slices.SortFunc(out.Shards, func(a, b model.ShardConfig) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out, nil
}

func (c *compiler) limits(l *limits, i, j int) (model.Limits, error) {
	out := model.Limits{
		Slots:       l.Slots,
		Connections: l.Connections,
		ConnectCost: time.Duration(l.ConnectCost),
		ColdSlots:   valueOr(l.ColdSlots, DefaultColdSlots),
		WarmAfter:   valueOr(l.WarmAfter, DefaultWarmAfter),
	}
	if out.WarmAfter < 1 || out.WarmAfter > maxWarmAfter {
		return out, c.doc.Fault(fmt.Sprintf("must be from 1 to %d", maxWarmAfter), "routes", i, "versions", j, "limits", "warmAfter")
	}
	if out.Slots < 1 || out.Slots > maxConnections {
		return out, c.doc.Fault(fmt.Sprintf("must be from 1 to %d", maxConnections), "routes", i, "versions", j, "limits", "slots")
	}
	if out.Connections < out.Slots {
		return out, c.doc.Fault(fmt.Sprintf("must be at least the %d slots, since each attempt needs a connection", out.Slots), "routes", i, "versions", j, "limits", "connections")
	}
	if out.Connections > maxConnections {
		return out, c.doc.Fault(fmt.Sprintf("must be at most %d", maxConnections), "routes", i, "versions", j, "limits", "connections")
	}
	if out.ColdSlots < 1 || out.ColdSlots > out.Slots {
		return out, c.doc.Fault(fmt.Sprintf("must be from 1 to the %d slots", out.Slots), "routes", i, "versions", j, "limits", "coldSlots")
	}
	if out.ConnectCost < 0 || out.ConnectCost > time.Second {
		return out, c.doc.Fault("must be from 0s to 1s", "routes", i, "versions", j, "limits", "connectCost")
	}
	return out, nil
}

func (c *compiler) shard(s *shard, i, j, k int) (model.ShardConfig, error) {
	path := []any{"routes", i, "versions", j, "shards", k}
	out := model.ShardConfig{ID: model.ShardID(s.Shard)}
	if err := c.checkName(s.Shard, append(path, "shard")...); err != nil {
		return out, err
	}
	if len(s.BackendServers) == 0 {
		return out, c.doc.Fault("at least one backend server is needed", append(path, "backendServers")...)
	}
	for n := range s.BackendServers {
		b, err := c.backendServer(&s.BackendServers[n], append(path, "backendServers", n))
		if err != nil {
			return out, err
		}
		out.Replicas = append(out.Replicas, b)
	}
	return out, nil
}

func (c *compiler) backendServer(b *backendServer, path []any) (model.BackendServer, error) {
	out := model.BackendServer{
		ID:      model.BackendServerID(b.ID),
		Zone:    model.AvailabilityZone(b.Zone),
		Address: b.Address,
		Leaving: b.Leaving,
	}
	if err := c.checkName(b.ID, append(path, "id")...); err != nil {
		return out, err
	}
	if c.servers[b.ID] {
		return out, c.doc.Fault(fmt.Sprintf("backend server %q serves two shards; its limits would be counted twice", b.ID), append(path, "id")...)
	}
	c.servers[b.ID] = true
	if !slices.Contains(c.zones, b.Zone) {
		return out, c.doc.Fault(fmt.Sprintf("%q is not one of the customer's zones", b.Zone), append(path, "zone")...)
	}
	return out, c.checkAddress(b, append(path, "address"))
}

func (c *compiler) checkAddress(b *backendServer, path []any) error {
	addr, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return c.doc.Fault(fmt.Sprintf("%q is not an IP number and port", b.Address), path...)
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		return c.doc.Fault(fmt.Sprintf("%q is not the address of a server", b.Address), path...)
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if other, ok := c.addresses[addr]; ok {
		return c.doc.Fault(fmt.Sprintf("%s is also the address of backend server %q; its limits would be counted twice", addr, other), path...)
	}
	c.addresses[addr] = b.ID
	return nil
}
