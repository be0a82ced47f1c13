package runner

import (
	"fmt"
	"strings"
	"testing"

	"woodworks/internal/batches/batch"
	"woodworks/internal/daemon/golden"
	"woodworks/internal/journal/journaltest"
)

func TestAssignmentEncoding(t *testing.T) {
	golden.CBOR[assignment](t, "assignment")
	log := journaltest.New()
	log.Partitions = 24
	assigner := &Assigner{journal: log}
	var partitions strings.Builder
	for i := range 8 {
		submission := &batch.Submission{Host: "host", Model: fmt.Sprint("model-", i)}
		fmt.Fprintln(&partitions, submission.Model, assigner.partitionOf(submission))
	}
	golden.Text(t, "partitions.txt", partitions.String())
}
