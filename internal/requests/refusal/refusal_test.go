package refusal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller must not be asked to wait for more than a third of its remaining time, unless every
// daemon would refuse the request.
func TestRetryDelayIsCapped(t *testing.T) {
	is := is.New(t)
	is.Equal(NoReplica.RetryDelay(10*time.Second), NoReplica.RetryAfter)
	is.Equal(NoReplica.RetryDelay(300*time.Millisecond), 100*time.Millisecond)
	is.Equal(NoReplica.RetryDelay(-time.Second), time.Duration(0))
	is.Equal(ServiceFull.WithRetryAfter(time.Hour).RetryDelay(3*time.Second), time.Second)
	is.Equal(Quarantined.RetryDelay(time.Second), time.Minute)
}
