package admission

import (
	"math"
	"time"
)

// fairnessTimeConstant is the time constant of the exponential decay of each tenant's work.
// Usually at most one request waits at a daemon, so that the order is only fair if it accounts
// for recent work. The decay bounds the advantage that an idle tenant accumulates.
const fairnessTimeConstant = 5 * time.Second

// tenantWork maps each tenant to its recent work, which decays with fairnessTimeConstant.
type tenantWork map[string]decayingWork

type decayingWork struct {
	work time.Duration
	at   time.Time
}

// recent returns the recent work of a tenant, decayed up to now.
func (a tenantWork) recent(tenant string, now time.Time) time.Duration {
	entry, ok := a[tenant]
	if !ok {
		return 0
	}
	return time.Duration(float64(entry.work) * math.Exp(-max(now.Sub(entry.at), 0).Seconds()/fairnessTimeConstant.Seconds()))
}

// add adds work, which may be negative, to a tenant. The total never drops below 0.
func (a tenantWork) add(tenant string, work time.Duration, now time.Time) {
	a[tenant] = decayingWork{work: max(a.recent(tenant, now)+work, 0), at: now}
}
