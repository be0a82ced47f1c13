package journal_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/journal"
)

// Guards against one log line for each lost call in a long outage.
func TestLostCallsAreLoggedAsOneEpisode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logged := observer.New(zapcore.InfoLevel)
		log := journal.DetectLostCalls(&hangingReads{}, zap.New(core))
		for i := range 250 {
			hanging := journal.Read{Partition: journal.Partition{Topic: fmt.Sprint("t", i%4)}}
			go func() { _, _ = log.Read(t.Context(), hanging) }()
			time.Sleep(200 * time.Millisecond)
			_, _ = log.Read(t.Context(), journal.Read{Partition: hanging.Partition, From: 1})
		}
		time.Sleep(time.Minute)
		lines := logged.FilterMessage("lost calls given up").All()
		is.True(log.CallsGivenUp.Load() >= 200)
		is.True(len(lines) <= 52)
		last := lines[len(lines)-1].ContextMap()
		is.Equal(last["times"], int64(log.CallsGivenUp.Load()))
		is.Equal(last["topics"], int64(4))
	})
}

// hangingReads is a journal that never answers reads from offset 0.
type hangingReads struct{ journal.Journal }

func (*hangingReads) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	if request.From == 0 {
		<-ctx.Done()
		return journal.Records{}, ctx.Err()
	}
	return journal.Records{}, nil
}
