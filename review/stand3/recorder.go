package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run: what was sent, answered and run, with the time since the start.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out *bufio.Writer
	f   *os.File
}

func newRecorder(path string) *recorder {
	f := must(os.Create(path))
	return &recorder{start: time.Now(), out: bufio.NewWriter(f), f: f}
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.line(format, args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.f.Close()
}
