package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/api/client"
	"woodworks/internal/api/rollout"
)

const (
	// followWait is how long a pull is held until there are samples, followLimit how many one
	// brings at most.
	followWait  = 10 * time.Second
	followLimit = 256
	// followRetries bounds the tries in a row that get no answer.
	followRetries = 30
)

func runRolloutSubmit(o *options) error {
	source, err := o.readFile()
	if err != nil {
		return err
	}
	var request rollout.Request
	if err := json.Unmarshal([]byte(source), &request); err != nil {
		return withCode(ExitUsage, errors.Wrap(err, o.file))
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	submitted, err := o.client().SubmitBatch(ctx, request)
	if err != nil {
		return err
	}
	return o.print(submitted, func(w io.Writer) {
		fmt.Fprintf(w, "batch %s of %s has %d samples\n", submitted.Name, submitted.Trainer, submitted.Samples)
	})
}

// runRolloutFollow prints one sample a line as JSON until the batch is done.
func runRolloutFollow(o *options) error {
	encoder := json.NewEncoder(o.stdout)
	cursor := ""
	failures := 0
	for {
		ctx, cancel := context.WithTimeout(context.Background(), followWait+remoteTimeout)
		pulled, err := o.client().PullSamples(ctx, o.trainer, o.batch, cursor, o.version, followLimit, followWait)
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
