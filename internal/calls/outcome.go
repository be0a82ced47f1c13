// Package calls sends requests to plain back ends and says truthfully what
// became of them.
package calls

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/backend/plain"
)

// Result says what became of a request. Every request ends with exactly one.
type Result string

// The results.
const (
	// Completed: the back end's whole answer is at hand.
	Completed Result = "completed"
	// NotExecuted: no byte reached a back end, and none will.
	NotExecuted Result = "not_executed"
	// Unknown: it may have run.
	Unknown Result = "unknown"
)

// Code names the cause of an outcome that is not Completed.
type Code string

// The codes.
const (
	CodeQueueFull      Code = "queue_full"
	CodeNoCapacity     Code = "no_capacity_in_time"
	CodeUnreachable    Code = "back_end_unreachable"
	CodeBackEndFailed  Code = "back_end_failed"
	CodeUnconfirmed    Code = "configuration_not_confirmed"
	CodeKeyReused      Code = "key_reused_with_other_content"
	CodeKeyExpired     Code = "key_expired"
	CodeRecordsLost    Code = "records_lost"
	CodeKeyMalformed   Code = "key_malformed"
	CodeRecordsBusy    Code = "records_unavailable"
	CodeHolderGone     Code = "earlier_try_lost"
	CodeAnswerNotKept  Code = "answer_not_kept"
	CodeAbandonedEarly Code = "earlier_try_given_up"
)

// Outcome is the final answer to a request.
type Outcome struct {
	Result  Result
	Answer  plain.Answer
	Code    Code
	Message string
	// NotSent is set on an Unknown outcome of a request with a key if this try
	// was not sent: an earlier try with the key may have run, and it is safe to
	// come back with the same key.
	NotSent bool
	// RetryAfter is when to come back, for an outcome that is not Completed.
	RetryAfter time.Duration
}

func completed(answer plain.Answer) Outcome { return Outcome{Result: Completed, Answer: answer} }

func failed(result Result, code Code, retryAfter time.Duration, format string, arguments ...any) Outcome {
	return Outcome{Result: result, Code: code, RetryAfter: retryAfter, Message: fmt.Sprintf(format, arguments...)}
}

// Key is a caller's name for one non-repeatable request.
type Key struct {
	Text     string
	IssuedAt time.Time
}

var keyPattern = regexp.MustCompile(`^([0-9]{13})-[A-Za-z0-9_.]{8,64}$`)

// ErrKey is returned for a text that is not a request key.
var ErrKey = errors.New(`must be a 13-digit Unix time in milliseconds, "-", and 8 to 64 letters, digits, "_" or "."`)

// ParseKey reads a request key. The time in it is when the caller made it: it
// tells every daemon alike when the key's record may be dropped.
func ParseKey(text string) (Key, error) {
	match := keyPattern.FindStringSubmatch(text)
	if match == nil {
		return Key{}, ErrKey
	}
	milliseconds, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return Key{}, ErrKey
	}
	return Key{Text: text, IssuedAt: time.UnixMilli(milliseconds)}, nil
}

const (
	// maxKeptAnswer is the largest answer body kept to be given again.
	maxKeptAnswer = 64 << 10
	// maxKeptBytes bounds all kept answers together.
	maxKeptBytes = 32 << 20
)

// forKey restates a refusal that came before the permit was decided. It is
// true of this try only: an earlier try with the same key, unknown here, may
// have run or run yet, so the request must not be called not executed.
func (outcome Outcome) forKey() Outcome {
	if outcome.Result == NotExecuted {
		outcome.Result = Unknown
		outcome.NotSent = true
	}
	return outcome
}

// attempt is one permit held by this daemon and what became of it.
type attempt struct {
	done    chan struct{}
	outcome Outcome
	madeAt  time.Time
}

// attempts remembers the outcomes of permits held by this daemon.
type attempts struct {
	mutex sync.Mutex
	byID  map[string]*attempt
	order []string
	bytes int
	limit int
}

func newAttempts(limit int) *attempts {
	return &attempts{byID: map[string]*attempt{}, limit: limit}
}

// open records an attempt before its permit is asked for.
func (kept *attempts) open(id string) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	kept.byID[id] = &attempt{done: make(chan struct{}), madeAt: time.Now()}
	kept.order = append(kept.order, id)
	kept.trim()
}

// close records what became of an attempt. Only the first call counts.
func (kept *attempts) close(id string, outcome Outcome) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	held, known := kept.byID[id]
	if !known {
		return
	}
	select {
	case <-held.done:
		return
	default:
	}
	if len(outcome.Answer.Body) > maxKeptAnswer {
		outcome = failed(Unknown, CodeAnswerNotKept, 0, "the request ran; its answer of %d bytes was not kept", len(outcome.Answer.Body))
	}
	held.outcome = outcome
	kept.bytes += len(outcome.Answer.Body)
	close(held.done)
	kept.trim()
}

// trim forgets the oldest finished attempts above the limits. The mutex must
// be held.
func (kept *attempts) trim() {
	for len(kept.order) > 0 && (len(kept.order) > kept.limit || kept.bytes > maxKeptBytes) {
		oldest := kept.byID[kept.order[0]]
		select {
		case <-oldest.done:
		default:
			return
		}
		kept.bytes -= len(oldest.outcome.Answer.Body)
		delete(kept.byID, kept.order[0])
		kept.order = kept.order[1:]
	}
}

// expire forgets finished attempts older than the retention.
func (kept *attempts) expire(now time.Time, retention time.Duration) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	for len(kept.order) > 0 {
		oldest := kept.byID[kept.order[0]]
		if now.Sub(oldest.madeAt) < retention {
			return
		}
		kept.bytes -= len(oldest.outcome.Answer.Body)
		delete(kept.byID, kept.order[0])
		kept.order = kept.order[1:]
	}
}

// find returns an attempt's state, nil if it is not known.
func (kept *attempts) find(id string) *attempt {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	return kept.byID[id]
}
