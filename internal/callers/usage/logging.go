package usage

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// maxLoggedTenants bounds the tenants that one log line names, so that its length stays bounded
// with any number of tenants.
const maxLoggedTenants = 40

// tenantCounts has the number of requests by tenant, formatted for log lines.
type tenantCounts map[string]int64

// String lists the tenants with the most requests, in descending order, and the sum of the
// others: "a:7,b:2,others:5".
func (b tenantCounts) String() string {
	tenants := slices.SortedFunc(maps.Keys(b), func(x, y string) int {
		return cmp.Or(cmp.Compare(b[y], b[x]), cmp.Compare(x, y))
	})
	var parts []string
	others := int64(0)
	for i, tenant := range tenants {
		if i < maxLoggedTenants {
			parts = append(parts, tenant+":"+strconv.FormatInt(b[tenant], 10))
		} else {
			others += b[tenant]
		}
	}
	if others > 0 {
		parts = append(parts, "others:"+strconv.FormatInt(others, 10))
	}
	return strings.Join(parts, ",")
}

// logEndedWindows logs the written counts of this incarnation in windows that ended before or at a
// time of day, one line for each window. Counts that are written later get a further line.
func (r *Recorder) logEndedWindows(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, window := range slices.Sorted(maps.Keys(r.unlogged)) {
		if windowEnd(window, r.windows).After(at) {
			continue
		}
		requests := r.unlogged[window]
		delete(r.unlogged, window)
		r.logger.Info("usage counted", zap.Int64("window", window), zap.String("run", r.self),
			zap.Int64("requests", totalRequests(requests)),
			zap.Int("tenants", len(requests)), zap.Stringer("counts", tenantCounts(requests)), zap.Int64("number", r.lastNumber))
	}
}
