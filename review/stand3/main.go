// Command stand3 plays the cases 11 to 13 of the review: it starts the daemons of the system as processes and
// stands in for the platform's store, the searchers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns whether the rule was broken.
type play func(e *env) bool

var plays = map[string]play{
	"era":   playEra,
	"cold":  playCold,
	"recut": playRecut,
}

// env is what a case works with.
type env struct {
	rec     *recorder
	dir     string // for settings and logs
	trouble bool
	store   *store
	daemons []*daemon
	servers []*searcher
}

var cleanup []func()

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	folder := os.Args[2]
	dir := must(os.MkdirTemp("", "stand3"))
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	rec := newRecorder(filepath.Join(folder, "record.txt"))
	cleanup = append(cleanup, rec.close)
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(rec)}
	cleanup = append(cleanup, e.end)
	broken := plays[os.Args[1]](e)
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	if broken {
		rec.say("the rule was broken")
		exit(exitBroken)
	}
	rec.say("the rule held")
	exit(exitHeld)
}

// end ends all processes and stand-ins.
func (e *env) end() {
	for _, d := range e.daemons {
		d.kill()
	}
	for _, s := range e.servers {
		s.close()
	}
}

func exit(code int) {
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.Exit(code)
}

func fail(reason string) {
	fmt.Println("the case could not run:", reason)
	exit(exitNotRun)
}

func check(err error) {
	if err != nil {
		fail(err.Error())
	}
}

func must[T any](v T, err error) T {
	check(err)
	return v
}
