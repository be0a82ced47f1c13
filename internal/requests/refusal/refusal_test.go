package refusal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A client that was refused late was told to wait for longer than its request had left; where
// every daemon would refuse it, less would only bring it back in vain.
func TestNobodyWaitsForMoreThanAThirdOfTheTimeLeft(t *testing.T) {
	is := is.New(t)
	is.Equal(NoReplica.RetryDelay(10*time.Second), NoReplica.RetryAfter)
	is.Equal(NoReplica.RetryDelay(300*time.Millisecond), 100*time.Millisecond)
	is.Equal(NoReplica.RetryDelay(-time.Second), time.Duration(0))
	is.Equal(ServiceFull.WithRetryAfter(time.Hour).RetryDelay(3*time.Second), time.Second)
	is.Equal(Quarantined.RetryDelay(time.Second), time.Minute)
}
