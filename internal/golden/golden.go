// Package golden compares recorded sessions of a reducer with golden files under testdata.
// Importing it adds the flag -update to a test binary; with -update, Check rewrites the files.
package golden

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files")

// Session records events, each followed by the effects that it caused, as text.
type Session struct{ text strings.Builder }

// Event records an event; at is its time since the start of the session.
func (s *Session) Event(at time.Duration, ev any) {
	fmt.Fprintf(&s.text, "%v %s\n", at, format(ev))
}

// Effect records an effect of the most recent event.
func (s *Session) Effect(e any) { fmt.Fprintf(&s.text, "    %s\n", format(e)) }

// format returns the unqualified type name of a value, followed by its JSON encoding.
func format(v any) string {
	name := fmt.Sprintf("%T", v)
	data, err := json.Marshal(v)
	if err != nil {
		data = []byte(err.Error())
	}
	return name[strings.LastIndex(name, ".")+1:] + " " + string(data)
}

// Check compares the recorded session with testdata/NAME.golden and fails the test if they differ.
func (s *Session) Check(t *testing.T, name string) {
	t.Helper()
	Check(t, name, s.text.String())
}

// Check compares a text with testdata/NAME.golden and fails the test at the first line that
// differs.
func Check(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range gotLines {
		if i >= len(wantLines) || wantLines[i] != gotLines[i] {
			wantLine := "nothing"
			if i < len(wantLines) {
				wantLine = wantLines[i]
			}
			t.Fatalf("%s: line %d differs\n got: %s\nwant: %s", file, i+1, gotLines[i], wantLine)
		}
	}
	t.Fatalf("%s: the session ends after %d lines, want %d", file, len(gotLines), len(wantLines))
}
