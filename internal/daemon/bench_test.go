package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"woodworks/internal/calls"
)

// startBench starts a floor for a benchmark.
func startBench(b *testing.B) *testFloor {
	b.Helper()
	one := startReady(b, 3)
	one.await("a first lookup", func() bool {
		_, result, err := one.public(0, "clerks").Call(context.Background(), "permit-desk", "status", "", []byte("x"))
		return err == nil && result == calls.Completed
	})
	return one
}

// BenchmarkGateway compares one lookup through a daemon with the same request
// to the back end itself, in turn, and reports what the daemon adds.
func BenchmarkGateway(b *testing.B) {
	one := startBench(b)
	direct, through := time.Duration(0), time.Duration(0)
	caller := one.public(0, "clerks")
	b.ReportAllocs()
	for b.Loop() {
		startedAt := time.Now()
		response, err := http.Post(one.plains[0].URL+"/status", "application/json", bytes.NewReader([]byte("x")))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		direct += time.Since(startedAt)

		startedAt = time.Now()
		if _, result, err := caller.Call(context.Background(), "permit-desk", "status", "", []byte("x")); err != nil || result != calls.Completed {
			b.Fatalf("%s, %v", result, err)
		}
		through += time.Since(startedAt)
	}
	b.ReportMetric(float64((through-direct).Microseconds())/float64(b.N), "added-µs/op")
	b.ReportMetric(float64(through)/float64(direct), "ratio")
}

// BenchmarkKeyedMove is a move with a key: a permit by majority, then one send.
func BenchmarkKeyedMove(b *testing.B) {
	one := startBench(b)
	caller := one.public(0, "clerks")
	one.await("an epoch of three", func() bool { return one.daemons[0].Status().EpochMembers == 3 })
	for number := 0; b.Loop(); number++ {
		if _, result, err := caller.Call(context.Background(), "permit-desk", "register", newKey("bench."+time.Now().Format("150405.000000")), []byte("x")); err != nil || result != calls.Completed {
			b.Fatalf("%s, %v", result, err)
		}
	}
}

// BenchmarkRefusal is a request refused at admission.
func BenchmarkRefusal(b *testing.B) {
	one := startBench(b)
	caller := one.public(0, "nobody")
	b.ReportAllocs()
	for b.Loop() {
		if answer, err := caller.Do(context.Background(), http.MethodPost, "/v1/rollouts", http.Header{}, nil); err != nil || answer.Status != http.StatusUnauthorized {
			b.Fatal(answer.Status, err)
		}
	}
}
