package usage

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woodworks/internal/daemon/wallclock"
	"woodworks/internal/journal/journaltest"
)

// Guards against written counts that are missing in the log or logged twice, at the end of a window
// or of the daemon.
func TestWrittenCountsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zap.InfoLevel)
		recorder := NewRecorder(journaltest.New(), "a/1", windows, func() time.Duration { return 0 }, wallclock.New(time.Now), zap.New(core))
		ctx, cancel := context.WithCancel(t.Context())
		go recorder.Run(ctx)
		const requests = 40
		for i := range requests {
			recorder.CountRequest([]string{"x", "y"}[i%2], time.Now())
			time.Sleep(300 * time.Millisecond)
		}
		is.NoErr(recorder.Flush(ctx))
		is.NoErr(recorder.Flush(ctx)) // logs nothing again
		cancel()
		synctest.Wait()
		logged := int64(0)
		loggedWindows := map[int64]bool{}
		for _, entry := range logs.FilterMessage("usage counted").All() {
			fields := entry.ContextMap()
			window := fields["window"].(int64)
			is.True(!loggedWindows[window])
			loggedWindows[window] = true
			logged += fields["requests"].(int64)
			is.Equal(fields["run"], "a/1")
			is.True(strings.Contains(fields["counts"].(string), "x:"))
		}
		is.Equal(logged, int64(requests))
		is.True(len(loggedWindows) >= 3) // 12 s in windows of 5 s
	})
}

func TestTenantCountsListsTheLargest(t *testing.T) {
	is := is.New(t)
	is.Equal(tenantCounts{"b": 2, "a": 2, "c": 7}.String(), "c:7,a:2,b:2")
	many := tenantCounts{}
	for i := range 3 * maxLoggedTenants {
		many[fmt.Sprintf("t%03d", i)] = 1
	}
	many["most"] = 9
	text := many.String()
	is.True(strings.HasPrefix(text, "most:9,t000:1,"))
	is.True(strings.HasSuffix(text, fmt.Sprintf(",others:%d", 2*maxLoggedTenants+1)))
}
