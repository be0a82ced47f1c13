package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/api/client"
	"woodworks/internal/api/gateway"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/api/rollout"
)

const (
	remoteTimeout = 20 * time.Second
	followWait    = 10 * time.Second
	followLimit   = 256
	// followRetries bounds the tries in a row that get no answer.
	followRetries = 30
)

func (chosen *options) nameOfDocument() string {
	if chosen.documentName != "" {
		return chosen.documentName
	}
	return strings.TrimSuffix(filepath.Base(chosen.file), ".star")
}

func (chosen *options) readFile() (string, error) {
	content, err := os.ReadFile(chosen.file)
	if err != nil {
		return "", withCode(ExitUsage, errors.Wrap(err, "cannot read file"))
	}
	return string(content), nil
}

func runPolicyCheck(chosen *options) error {
	source, err := chosen.readFile()
	if err != nil {
		return err
	}
	if err := policy.Validate(map[string]string{chosen.nameOfDocument(): source}); err != nil {
		return withCode(ExitUsage, err)
	}
	_, err = fmt.Fprintln(chosen.stdout, "policy is valid")
	return err
}

func runPolicyTest(chosen *options) error {
	source, err := chosen.readFile()
	if err != nil {
		return err
	}
	results, err := policy.RunCases(chosen.nameOfDocument(), source)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	failed := 0
	for _, result := range results {
		if result.Fault != "" {
			failed++
		}
	}
	if err := chosen.print(results, func(writer io.Writer) {
		for _, result := range results {
			if result.Fault == "" {
				_, _ = fmt.Fprintf(writer, "ok   %s\n", result.Name)
			} else {
				_, _ = fmt.Fprintf(writer, "FAIL %s: %s\n", result.Name, result.Fault)
			}
		}
		_, _ = fmt.Fprintf(writer, "%d passed, %d failed\n", len(results)-failed, failed)
	}); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Errorf("%d of %d cases failed", failed, len(results))
	}
	return nil
}

func runPolicyPublish(chosen *options) error {
	source, err := chosen.readFile()
	if err != nil {
		return err
	}
	body := struct {
		Name     string `json:"name"`
		Source   string `json:"source"`
		Replaces *int64 `json:"replaces,omitempty"`
	}{Name: chosen.nameOfDocument(), Source: source}
	if chosen.replaces != "" {
		version, err := strconv.ParseInt(chosen.replaces, 10, 64)
		if err != nil {
			return usagef("--replaces: %q is not a version", chosen.replaces)
		}
		body.Replaces = &version
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	var publication operator.Publication
	if err := chosen.client().JSON(ctx, http.MethodPost, "/v1/policies", body, &publication); err != nil {
		return err
	}
	return chosen.print(publication, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "policy %s is in force as version %d\n", body.Name, publication.Version)
	})
}

func (chosen *options) fetchPolicies() (gateway.PolicyList, error) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	var fetched gateway.PolicyList
	err := chosen.client().JSON(ctx, http.MethodGet, "/v1/policies", nil, &fetched)
	return fetched, err
}

func runPolicyHistory(chosen *options) error {
	fetched, err := chosen.fetchPolicies()
	if err != nil {
		return err
	}
	return chosen.print(fetched.History, func(writer io.Writer) {
		table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, "VERSION\tDOCUMENT\tAUTHOR")
		for _, change := range fetched.History {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%s\n", change.Version, change.Changed, change.Author)
		}
		_ = table.Flush()
	})
}

func runPolicyDiff(chosen *options) error {
	source, err := chosen.readFile()
	if err != nil {
		return err
	}
	fetched, err := chosen.fetchPolicies()
	if err != nil {
		return err
	}
	inForce := ""
	for _, document := range fetched.Documents {
		if document.Name == chosen.nameOfDocument() {
			inForce = document.Source
		}
	}
	lines := diffLines(inForce, source)
	for _, line := range lines {
		_, _ = fmt.Fprintln(chosen.stdout, line)
	}
	if len(lines) > 0 {
		return &exitError{code: ExitFailed, cause: errors.Errorf("%s differs from the policy in force", chosen.file)}
	}
	return nil
}

func runStatus(chosen *options) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	var status gateway.Status
	if err := chosen.client().JSON(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	return chosen.print(status, func(writer io.Writer) { printStatus(writer, status) })
}

func printStatus(writer io.Writer, status gateway.Status) {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "daemon\t%s\tready=%t\t%s\n", status.Daemon, status.Ready, status.Reason)
	age := time.Duration(status.ConfigurationAgeMs) * time.Millisecond
	_, _ = fmt.Fprintf(table, "configuration\tversion %d\tconfirmed %s ago\t\n", status.ConfigurationVersion, age)
	for _, model := range slices.Sorted(maps.Keys(status.Named)) {
		_, _ = fmt.Fprintf(table, "weights\t%s\tversion %d\t\n", model, status.Named[model])
	}
	for _, each := range status.Replicas {
		_, _ = fmt.Fprintf(table, "replica\t%s\t%s\tdraining=%t in_flight=%d versions=%v\n", each.ID, each.Service, each.Draining, each.InFlight, each.Versions)
	}
	_ = table.Flush()
}

func runDrain(chosen *options) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	body := struct {
		Machine string `json:"machine"`
		Undo    bool   `json:"undo,omitempty"`
	}{chosen.machine, chosen.undo}
	if err := chosen.client().JSON(ctx, http.MethodPost, "/v1/drains", body, nil); err != nil {
		return err
	}
	return chosen.print(body, func(writer io.Writer) {
		word := "gets no new work"
		if chosen.undo {
			word = "is back in service"
		}
		_, _ = fmt.Fprintf(writer, "%s %s\n", chosen.machine, word)
	})
}

func runRolloutSubmit(chosen *options) error {
	source, err := chosen.readFile()
	if err != nil {
		return err
	}
	var request rollout.Request
	if err := json.Unmarshal([]byte(source), &request); err != nil {
		return withCode(ExitUsage, errors.Wrap(err, chosen.file))
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	submitted, err := chosen.client().Submit(ctx, request)
	if err != nil {
		return err
	}
	return chosen.print(submitted, func(writer io.Writer) {
		_, _ = fmt.Fprintf(writer, "batch %s of %s has %d samples\n", submitted.Name, submitted.Trainer, submitted.Samples)
	})
}

// runRolloutFollow prints one sample a line as JSON until the batch is done.
func runRolloutFollow(chosen *options) error {
	encoder := json.NewEncoder(chosen.stdout)
	cursor := ""
	failures := 0
	for {
		ctx, cancel := context.WithTimeout(context.Background(), followWait+remoteTimeout)
		pulled, err := chosen.client().Pull(ctx, chosen.trainer, chosen.batch, cursor, chosen.version, followLimit, followWait)
		cancel()
		problem, answered := client.AsProblem(err)
		switch {
		case err == nil:
			failures = 0
		case answered && problem.Problem.RetryAfterMillis == 0:
			return err
		default:
			failures++
			if failures > followRetries {
				return err
			}
			time.Sleep(time.Second)
			continue
		}
		for _, sample := range pulled.Samples {
			if err := encoder.Encode(sample); err != nil {
				return err
			}
		}
		cursor = pulled.Cursor
		if pulled.Done {
			return nil
		}
	}
}
