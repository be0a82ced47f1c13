package cli

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"woodworks/internal/api/gateway"
)

func runStatus(o *options) error {
	var status gateway.Status
	if err := o.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	return o.print(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, status gateway.Status) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "daemon\t%s\tready=%t\t%s\n", status.Daemon, status.Ready, status.Reason)
	age := time.Duration(status.ConfigurationAgeMs) * time.Millisecond
	fmt.Fprintf(table, "configuration\tversion %d\tconfirmed %s ago\t\n", status.ConfigurationVersion, age)
	for _, model := range slices.Sorted(maps.Keys(status.NewestVersions)) {
		fmt.Fprintf(table, "weights\t%s\tversion %d\t\n", model, status.NewestVersions[model])
	}
	for _, entry := range status.Replicas {
		fmt.Fprintf(table, "replica\t%s\t%s\tdraining=%t in_flight=%d versions=%v\n",
			entry.ID, entry.Service, entry.Draining, entry.InFlight, entry.Versions)
	}
	table.Flush()
}

func runDrain(o *options) error {
	body := gateway.DrainRequest{Machine: o.machine, Undo: o.undo}
	if err := o.call(http.MethodPost, "/v1/drains", body, nil); err != nil {
		return err
	}
	return o.print(body, func(w io.Writer) {
		word := "gets no new work"
		if o.undo {
			word = "is back in service"
		}
		fmt.Fprintf(w, "%s %s\n", o.machine, word)
	})
}
