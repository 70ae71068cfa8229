package cli

import (
	"compress/gzip"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/core/trace"
)

// replayResult is the result of replaying one trace.
type replayResult struct {
	File    string `json:"file"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Events  int    `json:"events"`
	Effects int    `json:"effects"`
	Error   string `json:"error,omitempty"`
}

func (a *app) replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay PATH...",
		Short: "Replay recorded traces against their stated outcomes",
		Long: "Replays trace files, or all traces below a folder (*.jsonl and *.jsonl.gz). Each event\n" +
			"must have the recorded effects, and the invariants must hold after it.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			files, err := traceFiles(args)
			if err != nil {
				return exitErrorf(ExitUsage, "%v", err)
			}
			if len(files) == 0 {
				return exitErrorf(ExitUsage, "no traces in %s", strings.Join(args, ", "))
			}
			var results []replayResult
			failed := 0
			for _, f := range files {
				r := replayFile(f)
				if r.Error != "" {
					failed++
				}
				results = append(results, r)
			}
			if err := a.print(results, func(w io.Writer) { printReplay(w, results) }); err != nil {
				return err
			}
			if failed > 0 {
				return exitErrorf(ExitFailed, "%d of %d traces failed", failed, len(files))
			}
			return nil
		},
	}
}

func printReplay(w io.Writer, results []replayResult) {
	for _, r := range results {
		if r.Error != "" {
			fmt.Fprintf(w, "FAIL %s: %s\n", r.File, r.Error)
			continue
		}
		fmt.Fprintf(w, "ok   %s: %d events, %d effects: %s\n", r.File, r.Events, r.Effects, r.Outcome)
	}
}

// traceFiles returns the given files, and the traces below the given folders.
func traceFiles(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		err := filepath.WalkDir(p, func(path string, e fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			isTrace := strings.HasSuffix(path, ".jsonl") || strings.HasSuffix(path, ".jsonl.gz")
			if !e.IsDir() && (isTrace || path == p) {
				files = append(files, path)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

func replayFile(file string) replayResult {
	out := replayResult{File: file}
	f, err := os.Open(file)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	defer f.Close()
	var r io.Reader = f
	if strings.HasSuffix(file, ".gz") {
		if r, err = gzip.NewReader(f); err != nil {
			out.Error = err.Error()
			return out
		}
	}
	res, err := trace.Replay(r)
	if res != nil {
		out.Name, out.Outcome = res.Header.Name, res.Header.Outcome
		out.Events, out.Effects = res.Steps, res.Effects
	}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}
