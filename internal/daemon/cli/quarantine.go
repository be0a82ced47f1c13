package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"woodworks/internal/requests/quarantine"
)

func runQuarantineList(o *options) error {
	var list []quarantine.ListedContent
	if err := o.call(http.MethodGet, quarantine.Path, nil, &list); err != nil {
		return err
	}
	return o.print(list, func(w io.Writer) { printQuarantine(w, list) })
}

func printQuarantine(w io.Writer, list []quarantine.ListedContent) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REFUSED\tREPLICAS ENDED\tLAST END\tTURNED AWAY\tSERVICE\tREQUEST\tDIGEST")
	for _, entry := range list {
		ended := make([]string, 0, len(entry.Ended))
		for replica, times := range entry.Ended {
			ended = append(ended, fmt.Sprintf("%s x%d", replica, times))
		}
		since := time.Duration(entry.SinceEndMs) * time.Millisecond
		fmt.Fprintf(table, "%t\t%s\t%s ago\t%d\t%s\t%s %s%s\t%s\n", entry.Refused, strings.Join(ended, ", "),
			since, entry.TurnedAway,
			entry.Label.Service, entry.Label.Method, entry.Label.Host, entry.Label.Target, entry.Digest)
	}
	table.Flush()
}

func runQuarantineLift(o *options) error {
	var lifted quarantine.Lifted
	if err := o.call(http.MethodDelete, quarantine.Path+"/"+url.PathEscape(o.digest), nil, &lifted); err != nil {
		return err
	}
	return o.print(lifted, func(w io.Writer) { fmt.Fprintf(w, "%s may run again\n", lifted.Digest) })
}
