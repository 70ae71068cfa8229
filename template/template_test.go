package template

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/internal/strictjson"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// valid is a valid template. Most fields have a line of their own, so that tests can replace a part of
// the text and expect an error on that line.
const valid = `{
  // customer
  "customer": "haugland",
  "zones": ["vestland-a", "vestland-b"],
  "routes": [
    {
      "route": "portal-search",
      "timeout": "1s",
      "attemptTimeout": "500ms",
      "coverageFloor": 0.5,
      "classes": ["suggest", "portal"],
      "defaultClass": "portal",
      "hedge": {"percentile": 0.9, "budget": 0.02},
      "stableVersion": "v1",
      "versions": [{
        "version": "v1",
        "epoch": 1,
        "limits": {
          "slots": 3,
          "connections": 30,
          "connectCost": "6ms",
          "coldSlots": 1,
          "warmAfter": 20,
        },
        "shards": [
          {"shard": "s1", "backendServers": [
            {"id": "b1", "zone": "vestland-a", "address": "127.0.0.1:9001"},
            {"id": "b2", "zone": "vestland-b", "address": "127.0.0.1:9002"},
          ]},
          {"shard": "s0", "backendServers": [
            {"id": "b3", "zone": "vestland-b", "address": "127.0.0.1:9003", "leaving": true},
          ]},
        ],
      }],
    },
    {
      "route": "archive",
      "timeout": "1m", "attemptTimeout": "1m",
      "stableVersion": "v1",
      "versions": [
        {"version": "v1", "epoch": 7, "limits": {"slots": 2, "connections": 100},
         "shards": [{"shard": "s0", "backendServers": [{"id": "a1", "zone": "vestland-a", "address": "127.0.0.1:9004"}]}]},
      ],
    },
  ],
}
`

// TestInvalidTemplates guards against invalid templates that are accepted, and against errors that name
// the wrong line or field.
func TestInvalidTemplates(t *testing.T) {
	const second = "routes[1].versions[0]"
	const shards = "routes[0].versions[0].shards"
	for _, tc := range []struct {
		name, old, new string
		line           int
		field, reason  string
	}{
		{"unknown field", `"epoch": 1,`, `"epok": 1,`, 17, "routes[0].versions[0].epok", "unknown field"},
		{"wrong type", `"slots": 3`, `"slots": true`, 19, "routes[0].versions[0].limits.slots", "boolean"},
		{"null", `"timeout": "1s"`, `"timeout": null`, 8, "routes[0].timeout", "null"},
		{"duration without unit", `"6ms"`, `"6"`, 21, "routes[0].versions[0].limits.connectCost", "unit"},
		{"duplicate name", `"slots": 3`, `"connections": 3`, 20, "routes[0].versions[0].limits.connections", "duplicate"},
		{"text after the document", "  ],\n}\n", "  ],\n}\nx", 47, "", "after top-level value"},
		{"no zones", `["vestland-a", "vestland-b"]`, `[]`, 4, "zones", "at least one"},
		{"zone twice", `["vestland-a", "vestland-b"]`, "[\"vestland-a\",\n\"vestland-a\"]", 5, "zones[1]", "twice"},
		{"no routes", valid[strings.Index(valid, `"routes"`):], `"routes": []}`, 5, "routes", "at least one"},
		{"route twice", `"route": "archive"`, `"route": "portal-search"`, 37, "routes[1].route", "twice"},
		{"negative timeout", `"timeout": "1s"`, `"timeout": "-1s"`, 8, "routes[0].timeout", "from 1ms"},
		{"missing timeout", `"timeout": "1s",`, ``, 6, "routes[0].timeout", "from 1ms"},
		{"long attempt", `"500ms"`, `"2s"`, 9, "routes[0].attemptTimeout", "route's timeout"},
		{"floor", `0.5`, `1.5`, 10, "routes[0].coverageFloor", "from 0 to 1"},
		{"class twice", `"suggest", "portal"`, `"portal", "portal"`, 11, "routes[0].classes[1]", "twice"},
		{"unknown class", `"defaultClass": "portal"`, `"defaultClass": "x"`, 12, "routes[0].defaultClass", "classes"},
		{"percentile", `"percentile": 0.9`, `"percentile": 0`, 13, "routes[0].hedge.percentile", "above 0"},
		{"budget", `0.02`, `-0.02`, 13, "routes[0].hedge.budget", "from 0"},
		{"stable version", `"stableVersion": "v1"`, `"stableVersion": "v2"`, 14, "routes[0].stableVersion", "versions"},
		{"no epoch", `"epoch": 1`, `"epoch": 0`, 17, "routes[0].versions[0].epoch", "positive"},
		{"negative epoch", `"epoch": 1`, `"epoch": -1`, 17, "routes[0].versions[0].epoch", "-1"},
		{"no slots", `"slots": 3`, `"slots": 0`, 19, "routes[0].versions[0].limits.slots", "from 1"},
		{"few connections", `"connections": 30`, `"connections": 2`, 20, "routes[0].versions[0].limits.connections", "3 slots"},
		{"many connections", `"connections": 30`, `"connections": 70000`, 20, "routes[0].versions[0].limits.connections", "at most"},
		{"negative cost", `"6ms"`, `"-6ms"`, 21, "routes[0].versions[0].limits.connectCost", "from 0s"},
		{"cold slots", `"coldSlots": 1`, `"coldSlots": 4`, 22, "routes[0].versions[0].limits.coldSlots", "3 slots"},
		{"zero cold slots", `"coldSlots": 1`, `"coldSlots": 0`, 22, "routes[0].versions[0].limits.coldSlots", "from 1"},
		{"zero warm after", `"warmAfter": 20`, `"warmAfter": 0`, 23, "routes[0].versions[0].limits.warmAfter", "from 1"},
		{"shard twice", `"shard": "s0", "backendServers": [` + "\n", `"shard": "s1", "backendServers": [` + "\n", 30, shards + "[1].shard", "twice"},
		{"no shards", `"shards": [{"shard": "s0", "backendServers": [{"id": "a1", "zone": "vestland-a", "address": "127.0.0.1:9004"}]}]`, `"shards": []`, 42, second + ".shards", "at least one"},
		{"no servers", `[{"id": "a1", "zone": "vestland-a", "address": "127.0.0.1:9004"}]`, `[]`, 42, second + ".shards[0].backendServers", "at least one"},
		{"server twice", `"id": "b3"`, `"id": "b1"`, 31, shards + "[1].backendServers[0].id", "twice"},
		{"server in two routes", `"id": "a1"`, `"id": "b1"`, 42, second + ".shards[0].backendServers[0].id", "twice"},
		{"server zone", `"zone": "vestland-b", "address": "127.0.0.1:9003"`, `"zone": "oslo", "address": "127.0.0.1:9003"`, 31, shards + "[1].backendServers[0].zone", "zones"},
		{"host name", `127.0.0.1:9003`, `localhost:9003`, 31, shards + "[1].backendServers[0].address", "IP number"},
		{"no port", `127.0.0.1:9003`, `127.0.0.1:0`, 31, shards + "[1].backendServers[0].address", "address of a server"},
		{"address twice", `127.0.0.1:9003`, `[::ffff:127.0.0.1]:9001`, 31, shards + "[1].backendServers[0].address", "b1"},
		{"customer", `"haugland"`, `"Haugland & Sønner"`, 3, "customer", "not a name"},
		{"version twice", `{"version": "v1", "epoch": 7`, `{"version": "v1", "epoch": 6, "limits": {"slots": 1, "connections": 1},
         "shards": [{"shard": "x", "backendServers": [{"id": "x", "zone": "vestland-a", "address": "127.0.0.1:1"}]}]},
        {"version": "v1", "epoch": 7`, 43, "routes[1].versions[1].version", "twice"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, tc.old))
			_, err := Parse("t.jsonc", []byte(strings.Replace(valid, tc.old, tc.new, 1)))
			var fault *strictjson.Error
			is.True(errors.As(err, &fault)) // an invalid template must be rejected with this type of error
			t.Log(err)
			is.Equal(fault.Line, tc.line)
			is.Equal(fault.Field, tc.field)
			is.True(strings.Contains(fault.Reason, tc.reason))
		})
	}
}

// TestModel guards against fields that are missing from the model and defaults that are not applied.
func TestModel(t *testing.T) {
	is := is.New(t)
	m, err := Parse("t.jsonc", []byte(valid))
	is.NoErr(err)
	is.Equal(m.Text, valid)
	is.Equal(len(m.Routes), 2)
	archive, portal := m.Routes[0], m.Routes[1] // sorted by ID
	is.Equal(portal.Versions[0].Limits, model.Limits{Slots: 3, Connections: 30, ConnectCost: 6 * time.Millisecond, ColdSlots: 1, WarmAfter: 20})
	is.Equal(portal.Versions[0].Shards[0], model.ShardConfig{ID: "s0", Replicas: []model.BackendServer{
		{ID: "b3", Zone: "vestland-b", Address: "127.0.0.1:9003", Leaving: true},
	}})
	is.Equal(portal.HedgePercentile, 0.9)
	is.Equal(portal.HedgeBudget, 0.02)
	is.Equal(archive.Versions[0].Limits.ColdSlots, DefaultColdSlots)
	is.Equal(archive.Versions[0].Limits.WarmAfter, DefaultWarmAfter)
	is.Equal(archive.HedgeBudget, DefaultHedgeBudget)
	is.Equal(archive.Classes, []string{DefaultClass})

	m, err = Parse("t.jsonc", []byte(strings.Replace(valid, `"percentile": 0.9, `, ``, 1)))
	is.NoErr(err)
	is.Equal(m.Routes[1].HedgePercentile, DefaultHedgePercentile)
}

// TestSize guards against a template that is accepted although it is too large for the store once it is
// quoted as a JSON string.
func TestSize(t *testing.T) {
	is := is.New(t)
	fits := valid + strings.Repeat(" ", maxSize/2)
	_, err := Parse("t.jsonc", []byte(fits))
	is.NoErr(err)
	_, err = Parse("t.jsonc", []byte(valid+strings.Repeat("\n", maxSize*2/3)))
	is.True(err != nil)
	_, err = Parse("t.jsonc", []byte(valid+strings.Repeat(" ", maxSize)))
	is.True(err != nil)
}

// TestNesting guards against deeply nested text that overflows the stack and thereby ends the process.
func TestNesting(t *testing.T) {
	deep := strings.Repeat("[", maxSize/2)
	for _, text := range []string{
		deep,
		strings.ReplaceAll(deep[:maxSize/16], "[", `{"a":`),
		"[\"a\n\"," + deep,
		"[/* \" */" + deep,
		"[// \"\n" + deep,
		`["\\",` + deep,
		`["\"",` + deep,
	} {
		is := is.New(t)
		_, err := Parse("t.jsonc", []byte(text))
		var fault *strictjson.Error
		is.True(errors.As(err, &fault))
		is.True(fault.Line > 0)
		is.True(strings.Contains(fault.Reason, "nested deeper") || strings.Contains(fault.Reason, "not closed"))
	}
}

// FuzzParse guards against templates that make the parser panic, and against an accepted template whose
// stored text parses to a different template.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"zones":["a","a"]}`))
	f.Add([]byte(`[/* " */ {"a\\": "\"]"} // [`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Parse("f", text)
		if err != nil {
			return
		}
		again, err := Parse("f", []byte(m.Text))
		if err != nil {
			t.Fatalf("accepted text is refused: %v", err)
		}
		if !reflect.DeepEqual(m, again) {
			t.Fatalf("parsed %+v, then %+v", m, again)
		}
	})
}
