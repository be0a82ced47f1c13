package admission

import (
	"math"
	"time"
)

// fairnessTimeConstant is over which time tenants are held equal. Most often one request waits at a
// daemon at a time, or none, so that the order of those that wait is fair only if it remembers
// what each tenant has had before; a tenant that has paused is not owed more than this.
const fairnessTimeConstant = 5 * time.Second

// tenantWork are the work that each tenant has had lately, which decays over fairSpan.
type tenantWork map[string]decayingWork

type decayingWork struct {
	work time.Duration
	at   time.Time
}

// work is the work work a tenant as work now.
func (a tenantWork) work(tenant string, now time.Time) time.Duration {
	held, ok := a[tenant]
	if !ok {
		return 0
	}
	return time.Duration(float64(held.work) * math.Exp(-max(now.Sub(held.at), 0).Seconds()/fairnessTimeConstant.Seconds()))
}

// add adds to a tenant's work, or takes off it.
func (a tenantWork) add(tenant string, work time.Duration, now time.Time) {
	a[tenant] = decayingWork{work: max(a.work(tenant, now)+work, 0), at: now}
}
