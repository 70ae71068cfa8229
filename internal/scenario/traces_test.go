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

var update = flag.Bool("update", false, "write the traces of the sessions anew")

// traceDir holds the traces that `gooseberrylock replay testdata/traces` replays.
const traceDir = "../../testdata/traces"

// TestSessions guards the recorded sessions: each ends as stated, replays without a
// difference, and is the same as the committed trace.
func TestSessions(t *testing.T) {
	for _, s := range Sessions() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var buf bytes.Buffer
			w, err := s.Play(&buf, 1)
			is.NoErr(err)
			if reason := s.Check(w); reason != "" {
				t.Fatalf("the session did not end as stated: %s", reason)
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
				t.Fatalf("the session differs from %s; if that is meant, run go test ./internal/scenario -run Sessions -update", file)
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
