// Command gooseberrylock is the command line for operators and developers.
package main

import (
	"os"

	"github.com/gooseberrylock/gooseberrylock/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
