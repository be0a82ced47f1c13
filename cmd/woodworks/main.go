// Command woodworks runs a daemon of the rollout service, and is the command
// line of its callers and operators.
package main

import "C" // built with cgo only, by which package signals ignores SIGHUP from the first moment

import (
	"os"

	"woodworks/internal/api/standalone"
	"woodworks/internal/daemon/cli"
	"woodworks/internal/daemon/settings"
	"woodworks/platform"
)

func main() {
	drivers := cli.Drivers{settings.DriverStore: platform.Connect, settings.DriverLog: standalone.Connect}
	os.Exit(cli.Main(os.Args[1:], drivers, os.Stdout, os.Stderr))
}
