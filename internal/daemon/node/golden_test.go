package node

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/golden"
	"woodworks/internal/daemon/settings"
	"woodworks/internal/journal/journaltest"
	"woodworks/internal/membership/duty"
	"woodworks/internal/requests/upstream"
)

// allDuties is a duty driver that wants every duty and accepts every call.
type allDuties struct{}

func (allDuties) Duties() duty.Duties { return duty.Duties{Usage: true, Fleet: true} }

func (allDuties) ReportUsage(context.Context, duty.Authority, duty.Usage) error { return nil }

func (allDuties) OrderFleet(context.Context, duty.Authority, duty.FleetOrder) error { return nil }

// Dashboards and alerts refer to metrics by name, label and label value.
func TestMetricsKeepTheirNames(t *testing.T) {
	loaded := *golden.Filled[settings.Settings]()
	loaded.Timing.UsageWindow = settings.Duration(time.Minute)
	connect := func(settings.Settings, *upstream.Pool) (Drivers, error) {
		return Drivers{Journal: journaltest.New(), Duties: allDuties{}}, nil
	}
	node, err := New(loaded, connect, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer node.cancel()
	node.metrics.Request("route", "status", "outcome", time.Second)
	node.metrics.JournalCall("call", "outcome", time.Second)
	node.metrics.Attempt("service", "outcome", time.Second)
	node.metrics.Admission("service", "outcome", time.Second)
	node.metrics.Question("way", true, time.Second)
	node.metrics.Question("way", false, time.Second)
	node.metrics.BatchPart("part", time.Second)
	node.metrics.Delivered("trainer", 1)
	golden.Text(t, "metrics.txt", metricNames(t, node))
	golden.Literals(t, "labels.literals")
}

// metricNames returns the scraped metrics without help texts and values: names, types, labels and
// bucket bounds.
func metricNames(t *testing.T, node *Node) string {
	answer := httptest.NewRecorder()
	node.metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	var lines []string
	for line := range strings.Lines(answer.Body.String()) {
		if !strings.HasPrefix(line, "# HELP") {
			name, _, sample := strings.Cut(line, " ")
			if strings.HasPrefix(line, "#") || !sample {
				name = strings.TrimSpace(line)
			}
			lines = append(lines, name)
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
