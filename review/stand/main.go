// Command stand runs the cases of the review: it starts the daemons of a small deployment as processes,
// with stand-ins of the store, the searchers and the clients on loopback addresses, and checks a rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc runs a case and reports whether the rule held. With trouble unset, the disruption is left out.
type caseFunc func(d *Deployment, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitFailed)
	}
	held, err := run(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitFailed)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

func run(c caseFunc, folder string) (held bool, err error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	record := &Record{out: out, start: time.Now()}
	defer func() { err = errors.Join(err, out.Close()) }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := NewDeployment(dir, record)
	if err != nil {
		return false, err
	}
	defer d.Close()
	return c(d, os.Getenv("TROUBLE") != "0")
}
