package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const explainLog = `
12.5 vm1 {"time":"2026-01-01T00:00:01Z","level":"info","vm":"vm1","server":"i-1","set":"a","message":"server"}
{"time":"2026-01-01T00:00:01Z","level":"info","vm":"vm1","server":"i-2","set":"a","message":"server"}
{"time":"2026-01-01T00:00:02Z","level":"info","vm":"vm1","version":3,"message":"configuration is in force"}
{"time":"2026-01-01T00:00:03Z","level":"info","vm":"vm1","version":4,"message":"configuration is in force"}
{"time":"2026-01-01T00:00:03.5Z","level":"info","vm":"vm1","set":"a","target":"v2","state":"running","message":"rollout"}
{"time":"2026-01-01T00:00:03.5Z","level":"info","vm":"vm1","set":"b","target":"v2","state":"running","message":"rollout"}
{"time":"2026-01-01T00:00:05Z","level":"warn","vm":"vm1","request":"r1","code":"failed","message":"request refused"}
{"time":"2026-01-01T00:00:04Z","level":"info","vm":"vm1","request":"r1","server":"i-1","set":"a","message":"attempt failed"}
{"time":"2026-01-01T00:00:04Z","level":"info","vm":"vm1","request":"r2","server":"i-2","message":"attempt failed"}
not a line of the log
`

// TestExplain guards against explain leaving out the state lines that a request depends on
// (configuration, server, rollout), or showing those of other servers and replica sets.
func TestExplain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(path, []byte(explainLog), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"explain", "r1", path}, &out, &errOut), ExitOK)
	var got []string
	for line := range strings.Lines(out.String()) {
		got = append(got, strings.TrimSpace(line))
	}
	is.Equal(got, []string{
		"00:00:01.000  vm1  server  server=i-1  set=a",
		"00:00:03.000  vm1  configuration is in force  version=4",
		"00:00:03.500  vm1  rollout  set=a  state=running  target=v2",
		"00:00:04.000  vm1  attempt failed  server=i-1  set=a",
		"00:00:05.000  vm1  request refused  code=failed",
	})
	is.Equal(Main([]string{"explain", "r9", path}, &out, &errOut), ExitFailed)
	is.Equal(Main([]string{"explain", "r1", path + "x"}, &out, &errOut), ExitUsage)
}
