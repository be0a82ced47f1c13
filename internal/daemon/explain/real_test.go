package explain

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// The logs in testdata are those of the two daemons of one run of
// platform.TestLogsOfProcessesExplainIDs, without the lines of failed attempts, of replicas
// listed, of configurations and of plain requests that were answered. daemon-0 was stopped by
// SIGTERM with a batch, a request and a stream under way; daemon-1 was killed at the end.
const (
	firstLog  = "testdata/daemon-0.log"
	secondLog = "testdata/daemon-1.log"
)

// realLines returns the lines of a log that do not hold any of some texts.
func realLines(t *testing.T, name string, without ...string) string {
	t.Helper()
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var kept strings.Builder
	for l := range strings.Lines(string(content)) {
		left := true
		for _, text := range without {
			left = left && !strings.Contains(l, text)
		}
		if left {
			kept.WriteString(l)
		}
	}
	return kept.String()
}

// told is what is said of an id, with the lines in the order in which they should come.
func told(t *testing.T, id string, logs ...string) string {
	t.Helper()
	var text strings.Builder
	// The order of the files tells nothing.
	if err := Explain(&text, id, strings.NewReader(strings.Join(logs, ""))); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func inTurn(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		_, rest, found := strings.Cut(text, part)
		if !found {
			t.Fatalf("%q is not there, or too early, in\n%s", part, text)
		}
		text = rest
	}
}

func TestADaemonsNameTellsItsStop(t *testing.T) {
	text := told(t, "daemon-0", realLines(t, secondLog), realLines(t, firstLog))
	inTurn(t, text, "signal signal=terminated", "stopping in_flight=3", "batch released batch=held", "turned away by the stop request=late-118",
		"listener closed", "request request=cut-stream", "request request=cut-short", "requests interrupted by the stop connections=2", "lease resigned fence=1", "stopped took=",
		"requests turned away 1, batches released 1, let go unbegun 0, items given back 0 times, requests interrupted 2; stopped after 2.647421325 s")
	is.New(t).True(!strings.Contains(text, "tenant a"))
}

func TestAStopWithoutItsEndIsToldSo(t *testing.T) {
	inTurn(t, told(t, "daemon-0", realLines(t, firstLog, "event=stopped")), "stopping", "its end is not in these logs")
	is.New(t).Equal(told(t, "daemon-1", realLines(t, secondLog)), "daemon-1: no planned stop is in these logs\n")
}

// A daemon that was killed in its stop and started again has no end of that stop.
func TestAStopThatWasKilledDoesNotEndWithALaterOne(t *testing.T) {
	is := is.New(t)
	first := realLines(t, firstLog, "event=stopped")
	later := strings.ReplaceAll(realLines(t, firstLog), "T21:", "T22:")
	text := told(t, "daemon-0", first, later)
	is.Equal(strings.Count(text, "its end is not in these logs"), 1)
	is.Equal(strings.Count(text, "; stopped after"), 1)
}

func TestARequestThatAStopMetSaysSo(t *testing.T) {
	logs := []string{realLines(t, firstLog), realLines(t, secondLog)}
	inTurn(t, told(t, "late-118", logs...), "stopping", "* ", "turned away by the stop", "stopped",
		"late-118: turned away by the planned stop of daemon-0, as it might have needed 4.97495883 s and 1.687211629 s were left", "late-118: tenant a")
	for _, id := range []string{"cut-short", "cut-stream"} {
		inTurn(t, told(t, id, logs...), "signal", "status=502 outcome=interrupted", id+": interrupted by the planned stop of daemon-0", id+": tenant a")
	}
}

func TestABatchAndItsNextOwnerAreTold(t *testing.T) {
	inTurn(t, told(t, "held", realLines(t, firstLog), realLines(t, secondLog)), "tenant=a status=202", "daemon-0: batch owned", "daemon-0: batch released", "daemon-1: batch owned",
		"held: request on daemon-0: accepted", "held: tenant a")
}

func TestAReportTellsTheCountsItWasMadeOf(t *testing.T) {
	const window = "1796245801"
	first, second := realLines(t, firstLog), realLines(t, secondLog)
	inTurn(t, told(t, window, first, second), "daemon-0: usage counted", "daemon-1: usage counted", "usage decided", "usage reported",
		"decided by daemon-0 as 8 requests, reported by daemon-0", "8 requests were counted by 2 daemons")
	// One daemon's log is missing.
	inTurn(t, told(t, window, first), "4 requests were counted by 1 daemons", "4 requests of a are in the figures and not counted in these logs")
	inTurn(t, told(t, window, realLines(t, firstLog, "usage reported"), second), "no report that the platform took is in these logs")
}

func TestAnOrderForReplicasTellsItsReason(t *testing.T) {
	inTurn(t, told(t, "engine", realLines(t, firstLog), realLines(t, secondLog)), "replicas ordered service=engine zone=z desired=5",
		"engine: ordered 5 in zone z by daemon-0, because: need=5, zones (listed/ordered before)=z:3/0, loads (items x time a slot/deadline)=60x1s/10s")
}

// What is no log at all explains nothing and breaks nothing.
func TestLinesThatAreCutOffAreEndured(t *testing.T) {
	is := is.New(t)
	whole := realLines(t, firstLog)
	for at := 0; at < len(whole); at += 97 {
		var text strings.Builder
		err := Explain(&text, "daemon-0", strings.NewReader(whole[:at]))
		is.True(err == nil || errors.Is(err, ErrNotFound))
	}
}
