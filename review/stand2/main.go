// Command stand2 plays the scripted cases of the second review: real daemons, and stand-ins of the store, the
// searchers and the clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"
)

// daemonPath is the program that the build line of the deploy file makes, from the root of the repository.
const daemonPath = "target/gooseberrylockd"

// scenes are the cases by the number of their folder.
var scenes = map[string]func(*record, bool) (bool, error){
	"6": oneRouteFails,
	"7": staleDrain,
	"8": coldOverload,
	"9": slowVersion,
}

func main() {
	// The daemons end with the thread that has started them.
	runtime.LockOSThread()
	if len(os.Args) != 2 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE, from the root of the repository")
		os.Exit(2)
	}
	r, err := newRecord(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := scenes[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.writeTraffic()
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		r.close()
		os.Exit(2)
	case broken:
		r.write("result: the rule was broken")
		r.close()
		os.Exit(1)
	}
	r.write("result: the rule held")
	r.close()
}

// record is the file that tells what was sent, answered and run. Times are in seconds since its start.
type record struct {
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.at(time.Now())) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.file, line)
}

// detail writes a line to the file only.
func (r *record) detail(format string, args ...any) { _, _ = fmt.Fprintf(r.file, format+"\n", args...) }

// writeTraffic writes all requests with their answers, and all runs, to the file.
func (r *record) writeTraffic() {
	for _, c := range callers {
		c.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(c.requests)) {
			q := c.requests[id]
			r.detail("request %s for %s: sent to %s at %.3f, answered %d at %.3f", q.id, q.path, q.vm.name, r.at(q.sent), q.status, r.at(q.ended))
		}
		c.mu.Unlock()
	}
	for _, s := range searchers {
		for _, q := range s.runsOf() {
			r.detail("run of request %s at %s (%s, %s) from %.3f, failed: %v", q.request, s.id, s.service, s.version, r.at(q.at), q.failed)
		}
	}
}

func (r *record) close() { _ = r.file.Close() }
