package scenario

import (
	"bytes"
	"compress/gzip"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/trace"
)

var update = flag.Bool("update", false, "rewrite the recorded traces of the sessions")

// traceDir is the directory that `gooseberrylock replay testdata/traces` replays.
const traceDir = "../../testdata/traces"

// TestSessions guards against unintended changes of decisions: each session must end as described,
// replay without a difference, and give the same trace as the committed file.
func TestSessions(t *testing.T) {
	for _, s := range Sessions() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var buf bytes.Buffer
			sim, err := s.Record(&buf, 1)
			is.NoErr(err)
			if reason := s.Check(sim); reason != "" {
				t.Fatalf("the session did not end as described: %s", reason)
			}
			_, err = trace.Replay(bytes.NewReader(buf.Bytes()))
			is.NoErr(err)
			file := filepath.Join(traceDir, s.Name+".jsonl.gz")
			if *update {
				is.NoErr(writeGzip(file, buf.Bytes()))
			}
			want, err := readGzip(file)
			is.NoErr(err)
			if !bytes.Equal(want, buf.Bytes()) {
				t.Fatalf("the session differs from %s; if the change is intended, run go test ./internal/scenario -run Sessions -update", file)
			}
		})
	}
}

func writeGzip(file string, data []byte) error {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return err
	}
	if _, err := z.Write(data); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	return os.WriteFile(file, buf.Bytes(), 0o644)
}

func readGzip(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	_, err = buf.ReadFrom(z)
	return buf.Bytes(), err
}
