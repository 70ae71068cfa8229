// Package settings reads the settings file of a daemon. The file is JSON with comments, is checked
// strictly, and states a unit with every duration.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/internal/strictjson"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Settings holds the settings of one daemon, with defaults for fields that the file omits.
type Settings struct {
	VM        model.VM               `json:"vm"`        // name of the VM, unique in the deployment
	Group     string                 `json:"group"`     // ownership group, at most 9 VMs of one region
	Zone      model.AvailabilityZone `json:"zone"`      // availability zone of the VM
	Addresses Addresses              `json:"addresses"` // addresses on which the daemon listens
	Store     Store                  `json:"store"`
	Peers     []Peer                 `json:"peers"` // other VMs, until the platform's list of VMs has been read
	Timing    Timing                 `json:"timing"`
	Traffic   Traffic                `json:"traffic"`
	Limits    Limits                 `json:"limits"`
	Operator  Operator               `json:"operator"`
	TLS       TLS                    `json:"tls"`
	Traces    Traces                 `json:"traces"`
	Log       Log                    `json:"log"`
}

// Addresses holds the addresses on which the daemon listens, each an IP number and a port.
type Addresses struct {
	Caller   string `json:"caller"`   // requests of callers, health and readiness
	Peer     string `json:"peer"`     // messages between daemons; the other daemons must be able to reach it
	Operator string `json:"operator"` // requests of operators, metrics and profiles
}

// Peer is another VM of the group.
type Peer struct {
	VM      model.VM               `json:"vm"`
	Zone    model.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"` // peer address of that VM
}

// Store configures the access to the platform's object API.
type Store struct {
	URL     string              `json:"url"`     // http or https URL with an IP number
	Timeout strictjson.Duration `json:"timeout"` // maximum duration of one call, not counting the time that a watch waits for changes; default 2s
}

// Timing holds the durations that govern heartbeats and leases; see docs/design.md 4.2.
type Timing struct {
	Heartbeat strictjson.Duration `json:"heartbeat"` // interval between heartbeats; default 100ms
	Fence     strictjson.Duration `json:"fence"`     // time after which a lease ends unless it is confirmed again; default 500ms
	Grace     strictjson.Duration `json:"grace"`     // time without a heartbeat after which a peer counts as lost; default 1.2s
}

// Traffic limits the requests that the daemon accepts.
type Traffic struct {
	Workers    int                 `json:"workers"`    // goroutines that process requests; default 4
	MaxQueries int                 `json:"maxQueries"` // requests of callers in progress; default 2000
	DrainDelay strictjson.Duration `json:"drainDelay"` // time after the start of a leave in which new requests are still accepted; default 2s
}

// Limits bound what the connections of callers may hold, and apply a second time to those of operators.
type Limits struct {
	MaxConnections   int   `json:"maxConnections"`   // open connections; default 4096
	MaxRequestMemory int64 `json:"maxRequestMemory"` // bytes of all requests that are being received or run, beyond 8 KiB for each connection; default 64 MiB
	MaxHeader        int   `json:"maxHeader"`        // bytes of the head of one request; default 64 KiB
	MaxBody          int64 `json:"maxBody"`          // bytes of the body of one request; default 4 MiB
}

// Operator configures the access to the operator address.
type Operator struct {
	Token string `json:"token"` // bearer token; required unless the address is on loopback or TLS.CA is set
}

// TLS holds the paths of PEM files. If CA is set, callers, operators and daemons must present a
// certificate that is signed by it.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Traces configures the export of spans.
type Traces struct {
	Endpoint string  `json:"endpoint"` // OTLP over HTTP, IP number and port; "" for none
	Ratio    float64 `json:"ratio"`    // share of requests that are traced, 0 to 1; default 0.01
}

// Log configures logging.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error; default info
}

// Defaults and bounds of settings.
const (
	defaultStoreTimeout = 2 * time.Second
	defaultWorkers      = 4
	defaultMaxQueries   = 2000
	defaultDrainDelay   = 2 * time.Second
	defaultTraceRatio   = 0.01

	defaultMaxConnections   = 4096
	defaultMaxRequestMemory = 64 << 20
	defaultMaxHeader        = 64 << 10
	// defaultMaxBody exceeds the longest query of the caller API, 64 Ki characters, in any encoding, and the
	// largest templates.
	defaultMaxBody = 4 << 20
	// minMaxHeader leaves room for the headers that HTTP clients send by themselves.
	minMaxHeader = 1 << 10

	maxWorkers      = 256
	maxQueriesLimit = 1_000_000
	// maxGrace bounds Timing.Grace, since the keys of a crashed owner are not served for that
	// time.
	maxGrace = time.Minute
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Load reads a settings file and checks it like Parse.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads and checks settings in JSON with comments. file is the name used in errors. An error
// is a *strictjson.Error with the line and the field.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	// The defaults are set before decoding, so that a zero in the file stays and is checked like
	// any other value.
	s.setDefaults()
	doc, err := strictjson.Decode(file, text, s)
	if err != nil {
		return nil, err
	}
	if err := s.validate(doc); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	s.Store.Timeout = strictjson.Duration(defaultStoreTimeout)
	s.Timing.Heartbeat = strictjson.Duration(core.DefaultHeartbeatInterval)
	s.Timing.Fence = strictjson.Duration(core.DefaultFence)
	s.Timing.Grace = strictjson.Duration(core.DefaultGrace)
	s.Traffic.DrainDelay = strictjson.Duration(defaultDrainDelay)
	s.Traffic.Workers = defaultWorkers
	s.Traffic.MaxQueries = defaultMaxQueries
	s.Limits.MaxConnections = defaultMaxConnections
	s.Limits.MaxRequestMemory = defaultMaxRequestMemory
	s.Limits.MaxHeader = defaultMaxHeader
	s.Limits.MaxBody = defaultMaxBody
	s.Traces.Ratio = defaultTraceRatio
	s.Log.Level = "info"
}

func (s *Settings) validate(doc *strictjson.Document) error {
	names := []struct{ field, value string }{
		{"vm", string(s.VM)}, {"group", s.Group}, {"zone", string(s.Zone)},
	}
	for _, n := range names {
		if !validName.MatchString(n.value) {
			return doc.Fault(fmt.Sprintf("%q is not a name: lower-case letters, digits, '.', '_' and '-', at most 63", n.value), n.field)
		}
	}
	checks := []func(*strictjson.Document) error{
		s.validateAddresses, s.validatePeers, s.validateStore, s.validateTiming, s.validateTraffic, s.validateLimits, s.validateSecurity, s.validateOutput,
	}
	for _, check := range checks {
		if err := check(doc); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateAddresses(doc *strictjson.Document) error {
	list := []struct{ field, value string }{
		{"caller", s.Addresses.Caller}, {"peer", s.Addresses.Peer}, {"operator", s.Addresses.Operator},
	}
	seen := make(map[netip.AddrPort]string)
	for _, a := range list {
		addr, err := netip.ParseAddrPort(a.value)
		if err != nil {
			return doc.Fault(fmt.Sprintf("%q is not an IP number and port", a.value), "addresses", a.field)
		}
		if other, ok := seen[addr]; ok && addr.Port() != 0 {
			return doc.Fault(fmt.Sprintf("%s is also the address for %s", addr, other), "addresses", a.field)
		}
		if addr.Addr().Zone() != "" {
			return doc.Fault("must not have an IPv6 scope", "addresses", a.field)
		}
		seen[addr] = a.field
	}
	peer := netip.MustParseAddrPort(s.Addresses.Peer)
	if peer.Addr().IsUnspecified() {
		return doc.Fault("must be an IP number that the other daemons can reach", "addresses", "peer")
	}
	return nil
}

func (s *Settings) validatePeers(doc *strictjson.Document) error {
	seen := make(map[model.VM]bool)
	for i, p := range s.Peers {
		if !validName.MatchString(string(p.VM)) || !validName.MatchString(string(p.Zone)) {
			return doc.Fault("vm and zone must be names", "peers", i)
		}
		if seen[p.VM] {
			return doc.Fault(fmt.Sprintf("VM %q is listed twice", p.VM), "peers", i, "vm")
		}
		seen[p.VM] = true
		if _, err := netip.ParseAddrPort(p.Address); err != nil {
			return doc.Fault(fmt.Sprintf("%q is not an IP number and port", p.Address), "peers", i, "address")
		}
	}
	return nil
}

func (s *Settings) validateStore(doc *strictjson.Document) error {
	u, err := url.Parse(s.Store.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return doc.Fault(fmt.Sprintf("%q is not an http or https URL", s.Store.URL), "store", "url")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return doc.Fault(fmt.Sprintf("host %q is not an IP number", u.Hostname()), "store", "url")
	}
	if t := time.Duration(s.Store.Timeout); t < 10*time.Millisecond || t > time.Minute {
		return doc.Fault("must be from 10ms to 1m", "store", "timeout")
	}
	return nil
}

func (s *Settings) validateTiming(doc *strictjson.Document) error {
	heartbeat, fence, grace := time.Duration(s.Timing.Heartbeat), time.Duration(s.Timing.Fence), time.Duration(s.Timing.Grace)
	if heartbeat < 10*time.Millisecond || heartbeat > 5*time.Second {
		return doc.Fault("must be from 10ms to 5s", "timing", "heartbeat")
	}
	if grace <= 0 || grace > maxGrace {
		return doc.Fault(fmt.Sprintf("must be above 0s and at most %v", maxGrace), "timing", "grace")
	}
	if fence > grace {
		return doc.Fault(fmt.Sprintf("must be at most the grace (%v)", grace), "timing", "fence")
	}
	if fence < 3*heartbeat {
		return doc.Fault(fmt.Sprintf("must be at least three heartbeats (%v), or one lost heartbeat ends a lease", 3*heartbeat), "timing", "fence")
	}
	// A tenth of the grace allows for clock drift between VMs.
	if minimum := 2*fence + grace/10; grace < minimum {
		return doc.Fault(fmt.Sprintf("must be at least twice the fence plus a tenth for clock drift (%v)", minimum), "timing", "grace")
	}
	return nil
}

func (s *Settings) validateTraffic(doc *strictjson.Document) error {
	if s.Traffic.Workers < 1 || s.Traffic.Workers > maxWorkers {
		return doc.Fault(fmt.Sprintf("must be from 1 to %d", maxWorkers), "traffic", "workers")
	}
	if s.Traffic.MaxQueries < 1 || s.Traffic.MaxQueries > maxQueriesLimit {
		return doc.Fault(fmt.Sprintf("must be from 1 to %d", maxQueriesLimit), "traffic", "maxQueries")
	}
	if d := time.Duration(s.Traffic.DrainDelay); d < 0 || d > time.Minute {
		return doc.Fault("must be from 0s to 1m", "traffic", "drainDelay")
	}
	return nil
}

func (s *Settings) validateLimits(doc *strictjson.Document) error {
	if s.Limits.MaxConnections < 1 {
		return doc.Fault("must be at least 1", "limits", "maxConnections")
	}
	if s.Limits.MaxBody < 1 {
		return doc.Fault("must be at least 1", "limits", "maxBody")
	}
	if s.Limits.MaxHeader < minMaxHeader {
		return doc.Fault(fmt.Sprintf("must be at least %d", minMaxHeader), "limits", "maxHeader")
	}
	if s.Limits.MaxRequestMemory < s.Limits.MaxBody {
		return doc.Fault("must be at least maxBody", "limits", "maxRequestMemory")
	}
	return nil
}

func (s *Settings) validateSecurity(doc *strictjson.Document) error {
	if (s.TLS.Cert == "") != (s.TLS.Key == "") {
		return doc.Fault("cert and key go together", "tls")
	}
	if s.TLS.CA != "" && s.TLS.Cert == "" {
		return doc.Fault("ca needs cert and key", "tls", "ca")
	}
	loopback := netip.MustParseAddrPort(s.Addresses.Operator).Addr().IsLoopback()
	if !loopback && s.Operator.Token == "" && s.TLS.CA == "" {
		return doc.Fault("an operator address off loopback needs operator.token or tls.ca", "addresses", "operator")
	}
	return nil
}

func (s *Settings) validateOutput(doc *strictjson.Document) error {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return doc.Fault(fmt.Sprintf("%q is not debug, info, warn or error", s.Log.Level), "log", "level")
	}
	if s.Traces.Endpoint != "" {
		if _, err := netip.ParseAddrPort(s.Traces.Endpoint); err != nil {
			return doc.Fault(fmt.Sprintf("%q is not an IP number and port", s.Traces.Endpoint), "traces", "endpoint")
		}
	}
	if s.Traces.Ratio < 0 || s.Traces.Ratio > 1 {
		return doc.Fault("must be from 0 to 1", "traces", "ratio")
	}
	return nil
}
