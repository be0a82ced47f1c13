// Command woodworks-lab holds the stand-ins of the systems around woodworks
// and runs floors of separate processes on loopback.
package main

import (
	"os"

	"woodworks/internal/lab/labcli"
)

func main() { os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
