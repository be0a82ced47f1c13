// Command woodworks runs a daemon of the rollout service, and is the command
// line of its callers and operators.
package main

import "C"

import (
	"os"

	"woodworks/internal/cli"
	"woodworks/platform"
)

func main() { os.Exit(cli.Main(os.Args[1:], platform.Connect, os.Stdout, os.Stderr)) }
