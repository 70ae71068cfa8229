package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core"
	"github.com/gooseberrylock/gooseberrylock/internal/strictjson"
)

// valid is a valid settings file. Most fields have a line of their own, so that tests can replace a
// part of the text and expect an error on that line.
const valid = `// entry VM
{
  "vm": "entry-1",
  "group": "vestland",
  "zone": "vestland-a",
  "addresses": {
    "caller": "127.0.0.1:7000",
    "peer": "127.0.0.1:7001",
    /* loopback
       only */
    "operator": "127.0.0.1:7002",
  },
  "store": {
    "url": "http://127.0.0.1:7100",
    "timeout": "2s",
  },
  "timing": {
    "heartbeat": "100ms", "fence": "500ms",
    "grace": "1200ms",
  },
  "traffic": {
    "workers": 4,
    "maxQueries": 2000,
    "drainDelay": "2s",
  },
  "operator": {"token": ""},
  "tls": {
    "cert": "",
    "key": "",
    "ca": "",
  },
  "traces": {
    "endpoint": "",
    "ratio": 0.01,
  },
  "log": {"level": "info"},
}
`

// TestInvalidSettings guards against invalid settings that are accepted, and against errors that name
// the wrong line or field.
func TestInvalidSettings(t *testing.T) {
	for _, tc := range []struct {
		name, old, new string
		line           int
		field, reason  string
	}{
		{"unknown field", `"group":`, `"grp":`, 4, "grp", "unknown field"},
		{"unknown nested field", `"workers":`, `"worker":`, 22, "traffic.worker", "unknown field"},
		{"other case", `"vm":`, `"VM":`, 3, "VM", "unknown field"},
		{"wrong type", `"workers": 4`, `"workers": "4"`, 22, "traffic.workers", "string"},
		{"value on the next line", `"workers": 4`, "\"workers\":\n \"4\"", 23, "traffic.workers", "string"},
		{"fraction", `"workers": 4`, `"workers": 4.5`, 22, "traffic.workers", "4.5"},
		{"null", `"workers": 4`, `"workers": null`, 22, "traffic.workers", "null"},
		{"object for string", `"vm": "entry-1"`, `"vm": {}`, 3, "vm", "object"},
		{"duration without unit", `"heartbeat": "100ms"`, `"heartbeat": "100"`, 18, "timing.heartbeat", "unit"},
		{"zero without unit", `"drainDelay": "2s"`, `"drainDelay": "0"`, 24, "traffic.drainDelay", "unit"},
		{"number as duration", `"grace": "1200ms"`, `"grace": 1200`, 19, "timing.grace", "unit"},
		{"duplicate name", `"maxQueries": 2000`, `"workers": 5`, 23, "traffic.workers", "duplicate"},
		{"missing comma", `"vm": "entry-1",`, `"vm": "entry-1"`, 4, "", "invalid character"},
		{"text after the document", "\n}\n", "\n}\n{}\n", 38, "", "after top-level value"},
		{"open string", `"info"},`, `"info},`, 36, "", "not closed"},
		{"open string before others", `"entry-1",`, `"entry-1,`, 3, "", "not closed"},
		{"not UTF-8", `loopback`, "\xff", 9, "", "UTF-8"},
		{"bad name", `"entry-1"`, `"Entry 1"`, 3, "vm", "not a name"},
		{"missing name", `"group": "vestland",`, ``, 2, "group", "not a name"},
		{"host name", `127.0.0.1:7000`, `localhost:7000`, 7, "addresses.caller", "IP number"},
		{"no port", `127.0.0.1:7001`, `127.0.0.1`, 8, "addresses.peer", "IP number"},
		{"same address", `127.0.0.1:7002`, `127.0.0.1:7001`, 11, "addresses.operator", "also the address"},
		{"unspecified peer", `127.0.0.1:7001`, `0.0.0.0:7001`, 8, "addresses.peer", "reach"},
		{"operator off loopback", `127.0.0.1:7002`, `10.0.0.1:7002`, 11, "addresses.operator", "token"},
		{"store by name", `http://127.0.0.1:7100`, `http://store:7100`, 14, "store.url", "IP number"},
		{"store scheme", `http://127.0.0.1:7100`, `ftp://127.0.0.1`, 14, "store.url", "URL"},
		{"store user", `http://127.0.0.1:7100`, `http://a:b@127.0.0.1`, 14, "store.url", "URL"},
		{"zero timeout", `"timeout": "2s"`, `"timeout": "0s"`, 15, "store.timeout", "from 10ms"},
		{"negative heartbeat", `"100ms"`, `"-100ms"`, 18, "timing.heartbeat", "from 10ms"},
		{"short fence", `"500ms"`, `"200ms"`, 18, "timing.fence", "three heartbeats"},
		{"short grace", `"1200ms"`, `"1000ms"`, 19, "timing.grace", "twice the fence"},
		{"fence that overflows", `"500ms"`, `"1700000h"`, 18, "timing.fence", "at most"},
		{"long grace", `"1200ms"`, `"2h"`, 19, "timing.grace", "at most"},
		{"zero workers", `"workers": 4`, `"workers": 0`, 22, "traffic.workers", "from 1"},
		{"negative workers", `"workers": 4`, `"workers": -4`, 22, "traffic.workers", "from 1"},
		{"too many queries", `2000`, `2000000000`, 23, "traffic.maxQueries", "from 1"},
		{"negative drain delay", `"drainDelay": "2s"`, `"drainDelay": "-2s"`, 24, "traffic.drainDelay", "from 0s"},
		{"no connections", `"log": {"level": "info"}`, `"limits": {"maxConnections": 0}`, 36, "limits.maxConnections", "at least 1"},
		{"no bodies", `"log": {"level": "info"}`, `"limits": {"maxBody": 0}`, 36, "limits.maxBody", "at least 1"},
		{"short header", `"log": {"level": "info"}`, `"limits": {"maxHeader": 100}`, 36, "limits.maxHeader", "at least 1024"},
		{"less memory than a body", `"log": {"level": "info"}`, `"limits": {"maxRequestMemory": 1000}`, 36, "limits.maxRequestMemory", "maxBody"},
		{"key without cert", `"key": ""`, `"key": "k.pem"`, 27, "tls", "together"},
		{"ca without cert", `"ca": ""`, `"ca": "c.pem"`, 30, "tls.ca", "needs cert"},
		{"trace endpoint", `"endpoint": ""`, `"endpoint": "collector:4318"`, 33, "traces.endpoint", "IP number"},
		{"ratio", `0.01`, `1.5`, 34, "traces.ratio", "from 0 to 1"},
		{"log level", `"info"`, `"loud"`, 36, "log.level", "loud"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, tc.old))
			_, err := Parse("entry.jsonc", []byte(strings.Replace(valid, tc.old, tc.new, 1)))
			var fault *strictjson.Error
			is.True(errors.As(err, &fault)) // invalid settings must be rejected with this type of error
			t.Log(err)
			is.Equal(fault.File, "entry.jsonc")
			is.Equal(fault.Line, tc.line)
			is.Equal(fault.Field, tc.field)
			is.True(strings.Contains(fault.Reason, tc.reason))
		})
	}
}

// TestAccepted guards against defaults that are not applied or that replace a zero in the file, and
// against an example file that is rejected.
func TestAccepted(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f", []byte(strings.Replace(valid, `"drainDelay": "2s"`, `"drainDelay": "0s"`, 1)))
	is.NoErr(err)
	is.Equal(time.Duration(s.Traffic.DrainDelay), time.Duration(0))

	s, err = Parse("f", []byte(`{"vm":"a","group":"g","zone":"z","store":{"url":"https://[::1]:1"},
		"addresses":{"caller":"127.0.0.1:0","peer":"127.0.0.1:0","operator":"127.0.0.1:0"}}`))
	is.NoErr(err)
	is.Equal(time.Duration(s.Timing.Grace), core.DefaultGrace)
	is.Equal(s.Traffic.Workers, defaultWorkers)
	is.Equal(s.Traces.Ratio, defaultTraceRatio)

	_, err = Load("../examples/settings.jsonc")
	is.NoErr(err)
}

// FuzzParse guards against settings that make the parser panic, and against accepted settings whose
// grace is less than twice the fence.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../examples/settings.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(valid))
	f.Add([]byte(`{"addresses":{"peer":"[::1%x]:1"}} //`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err == nil && s.Timing.Grace < 2*s.Timing.Fence {
			t.Errorf("grace %v is less than twice the fence %v", s.Timing.Grace, s.Timing.Fence)
		}
	})
}
