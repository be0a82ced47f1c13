// Command review-standins plays one scenario of the review: it is the platform, the replicas and
// the clients, and starts the daemons as separate processes.
//
// # Usage
//
//	review-standins -program target/woodworks -record review/1/record.txt SCENARIO
//
// With TROUBLE=0 in the environment, the disruption is left out. The exit status is 1 if the rule
// was broken, 0 if it held, 2 if the scenario could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// scenarios are the scenarios by name. Each returns what broke the rule, "" if nothing did.
var scenarios = map[string]func(*world) (string, error){
	"ended-before-accepted": endedBeforeAccepted,
	"declined-once-more":    declinedOnceMore,
	"failures-forgotten":    failuresForgotten,
}

func main() {
	program := flag.String("program", "target/woodworks", "the daemon's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record))
}

func run(name, program, record string) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return 2
	}
	w, err := newWorld(program, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := scenario(w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return 2
	case broken != "":
		w.note("BROKEN: %s", broken)
		return 1
	}
	w.note("held")
	return 0
}
