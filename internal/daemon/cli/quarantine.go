package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"woodworks/internal/requests/quarantine"
)

func runQuarantineList(chosen *options) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	var list []quarantine.Listing
	if err := chosen.client().JSON(ctx, http.MethodGet, quarantine.Path, nil, &list); err != nil {
		return err
	}
	return chosen.print(list, func(w io.Writer) { printQuarantine(w, list) })
}

func printQuarantine(w io.Writer, list []quarantine.Listing) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REFUSED\tREPLICAS ENDED\tLAST END\tTURNED AWAY\tSERVICE\tREQUEST\tDIGEST")
	for _, each := range list {
		ended := make([]string, 0, len(each.Ended))
		for replica, times := range each.Ended {
			ended = append(ended, fmt.Sprintf("%s x%d", replica, times))
		}
		since := time.Duration(each.SinceEndMs) * time.Millisecond
		_, _ = fmt.Fprintf(table, "%t\t%s\t%s ago\t%d\t%s\t%s %s%s\t%s\n", each.Refused, strings.Join(ended, ", "), since, each.TurnedAway,
			each.Label.Service, each.Label.Method, each.Label.Host, each.Label.Target, each.Digest)
	}
	_ = table.Flush()
}

func runQuarantineLift(chosen *options) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	var lifted quarantine.Lifted
	if err := chosen.client().JSON(ctx, http.MethodDelete, quarantine.Path+"/"+url.PathEscape(chosen.digest), nil, &lifted); err != nil {
		return err
	}
	return chosen.print(lifted, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s may run again\n", lifted.Digest) })
}
