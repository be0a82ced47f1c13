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

// maxLoggedTenants bounds the tenants that one log line names, those with the most requests:
// a line stays below a kilobyte or two whatever the number of tenants.
const maxLoggedTenants = 40

// tenantCounts is the counts of tenants as logs show them.
type tenantCounts map[string]int64

// String names the tenants with the most requests, and counts the others' requests.
func (b tenantCounts) String() string {
	tenants := slices.SortedFunc(maps.Keys(b), func(x, y string) int {
		return cmp.Or(cmp.Compare(b[y], b[x]), cmp.Compare(x, y))
	})
	var parts []string
	rest := int64(0)
	for i, tenant := range tenants {
		if i < maxLoggedTenants {
			parts = append(parts, tenant+":"+strconv.FormatInt(b[tenant], 10))
		} else {
			rest += b[tenant]
		}
	}
	if rest > 0 {
		parts = append(parts, "others:"+strconv.FormatInt(rest, 10))
	}
	return strings.Join(parts, ",")
}

// logEndedWindows logs what this incarnation has counted in the windows that had ended at a time of day: a
// line a window, and another one for what was written of it later.
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
