// Command woodworks runs a daemon of the rollout service, and is the command
// line of its callers and operators.
package main

import (
	"os"

	"woodworks/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
