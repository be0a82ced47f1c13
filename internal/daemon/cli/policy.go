package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"woodworks/internal/api/gateway"
	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
)

func (o *options) nameOfDocument() string {
	if o.documentName != "" {
		return o.documentName
	}
	return strings.TrimSuffix(filepath.Base(o.file), ".star")
}

func (o *options) readFile() (string, error) {
	content, err := os.ReadFile(o.file)
	if err != nil {
		return "", withCode(ExitUsage, errors.Wrap(err, "cannot read file"))
	}
	return string(content), nil
}

func runPolicyCheck(o *options) error {
	source, err := o.readFile()
	if err != nil {
		return err
	}
	if err := policy.Validate(map[string]string{o.nameOfDocument(): source}); err != nil {
		return withCode(ExitUsage, err)
	}
	_, err = fmt.Fprintln(o.stdout, "policy is valid")
	return err
}

func runPolicyTest(o *options) error {
	source, err := o.readFile()
	if err != nil {
		return err
	}
	results, err := policy.RunTests(o.nameOfDocument(), source)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	failed := 0
	for _, result := range results {
		if result.Failure != "" {
			failed++
		}
	}
	if err := o.print(results, func(w io.Writer) {
		for _, result := range results {
			if result.Failure == "" {
				fmt.Fprintf(w, "ok   %s\n", result.Name)
			} else {
				fmt.Fprintf(w, "FAIL %s: %s\n", result.Name, result.Failure)
			}
		}
		fmt.Fprintf(w, "%d passed, %d failed\n", len(results)-failed, failed)
	}); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Errorf("%d of %d cases failed", failed, len(results))
	}
	return nil
}

func runPolicyPublish(o *options) error {
	source, err := o.readFile()
	if err != nil {
		return err
	}
	body := gateway.PublishRequest{Name: o.nameOfDocument(), Source: source}
	if o.replaces != "" {
		version, err := strconv.ParseInt(o.replaces, 10, 64)
		if err != nil {
			return usagef("--replaces: %q is not a version", o.replaces)
		}
		body.Replaces = &version
	}
	var publication operator.Publication
	if err := o.call(http.MethodPost, "/v1/policies", body, &publication); err != nil {
		return err
	}
	return o.print(publication, func(w io.Writer) {
		fmt.Fprintf(w, "policy %s is in force as version %d\n", body.Name, publication.Version)
	})
}

func (o *options) fetchPolicies() (gateway.PolicyList, error) {
	var fetched gateway.PolicyList
	err := o.call(http.MethodGet, "/v1/policies", nil, &fetched)
	return fetched, err
}

func runPolicyHistory(o *options) error {
	fetched, err := o.fetchPolicies()
	if err != nil {
		return err
	}
	return o.print(fetched.History, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "VERSION\tDOCUMENT\tAUTHOR")
		for _, change := range fetched.History {
			fmt.Fprintf(table, "%d\t%s\t%s\n", change.Version, change.Changed, change.Author)
		}
		table.Flush()
	})
}

func runPolicyDiff(o *options) error {
	source, err := o.readFile()
	if err != nil {
		return err
	}
	fetched, err := o.fetchPolicies()
	if err != nil {
		return err
	}
	inForce := ""
	for _, document := range fetched.Documents {
		if document.Name == o.nameOfDocument() {
			inForce = document.Source
		}
	}
	lines := diffLines(inForce, source)
	for _, line := range lines {
		fmt.Fprintln(o.stdout, line)
	}
	if len(lines) > 0 {
		return &exitError{code: ExitFailed, cause: errors.Errorf("%s differs from the policy in force", o.file)}
	}
	return nil
}
