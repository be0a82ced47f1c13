package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// episodeInterval is the least time between two lines of one episode.
	episodeInterval = time.Second
	// episodeQuiet is how long a condition must not have been found until its episode is
	// over: longer than the rest after which any of them is looked for again, so that one
	// outage is one episode.
	episodeQuiet = 5 * time.Second
	// maxEpisodes bounds the episodes of one event that are told apart; what comes beyond
	// is summed as one, under otherKeys.
	maxEpisodes = 32
	otherKeys   = "others"
	// maxSubjects bounds the subjects of one episode that are told apart.
	maxSubjects = 256
)

// Phases of an episode, in its lines. The first line has none.
const (
	phaseGoesOn = "goes on"
	phaseOver   = "over"
)

// Occurrence is one time that a condition was found.
type Occurrence struct {
	// Key tells the conditions of one event apart, such as by their reason.
	Key string
	// Subject is whom the condition befell, "" if that is nobody in particular.
	Subject string
	// Took is how long this one lasted, or will; the longest is told.
	Took time.Duration
	// Times is for how many it stands, 0 for one.
	Times int
}

// Episodes sums the lines of a condition that is found again and again. The first time is
// logged in full. As long as it comes again a line a second says how often, of how many
// subjects and how long the longest took, all since the beginning; so does a last line once
// it has not come for 5 s. What came once has the first line only.
//
// # Usage
//
// For conditions that befall many at once, such as peers that have all lost the store, of
// which each daemon would write a line a call. Lines that explain one request or item are
// not summed: they are logged by themselves.
//
//	left := logging.NewEpisodes(logger, "peer left alone", "reason", "peers")
//	left.Note(logging.Occurrence{Key: reason, Subject: name, Took: rest}, zap.String("peer", name))
//
// Episodes are safe for concurrent use and never block. An event has 33 episodes at most,
// thus 33 lines a second.
type Episodes struct {
	logger                     *zap.Logger
	event, keyName, subjectsAs string

	mu   sync.Mutex
	open map[string]*episode
}

// episode is a condition that was found a moment ago.
type episode struct {
	began, last time.Time
	// times is how often it came, told how much of that was logged, first how much at once
	// as it began.
	times, told, first int
	longest            time.Duration
	subjects           map[string]struct{}
}

// NewEpisodes returns the episodes of an event. KeyName and subjectsAs are the fields that
// hold an episode's key and the number of its subjects; "" leaves them out.
func NewEpisodes(logger *zap.Logger, event, keyName, subjectsAs string) *Episodes {
	return &Episodes{logger: logger, event: event, keyName: keyName, subjectsAs: subjectsAs, open: map[string]*episode{}}
}

// Note counts an occurrence, and logs it with further fields if it begins an episode.
func (e *Episodes) Note(found Occurrence, fields ...zap.Field) {
	if key, begins := e.count(found); begins {
		e.logger.Info(e.event, append(e.keyField(key), fields...)...)
		time.AfterFunc(episodeInterval, func() { e.tell(key) })
	}
}

// count adds an occurrence to its episode, and reports whether that begins with it.
func (e *Episodes) count(found Occurrence) (key string, begins bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	key = found.Key
	if e.open[key] == nil && len(e.open) >= maxEpisodes {
		key = otherKeys
	}
	current := e.open[key]
	if begins = current == nil; begins {
		current = &episode{began: now, subjects: map[string]struct{}{}}
		e.open[key] = current
	}
	current.add(found, now)
	if begins {
		current.told, current.first = current.times, current.times
	}
	return key, begins
}

func (current *episode) add(found Occurrence, now time.Time) {
	current.last = now
	current.times += max(found.Times, 1)
	current.longest = max(current.longest, found.Took)
	if found.Subject != "" && len(current.subjects) < maxSubjects {
		current.subjects[found.Subject] = struct{}{}
	}
}

// tell logs what came since the last line of an episode, or its end, and goes on as long
// as it lasts.
func (e *Episodes) tell(key string) {
	fields, over := e.news(key, time.Now())
	if fields != nil {
		e.logger.Info(e.event, fields...)
	}
	if !over {
		time.AfterFunc(episodeInterval, func() { e.tell(key) })
	}
}

// news returns the fields of the next line of an episode, nil if there is none to write,
// and whether it is over; then it is dropped.
func (e *Episodes) news(key string, now time.Time) (fields []zap.Field, over bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, phase := e.open[key], phaseGoesOn
	if over = now.Sub(current.last) >= episodeQuiet; over {
		delete(e.open, key)
		phase = phaseOver
	}
	if !over && current.told == current.times || over && current.first == current.times {
		return nil, over // nothing new, or all was told as it began
	}
	current.told = current.times
	fields = append(e.keyField(key), zap.String("phase", phase), zap.Int("times", current.times))
	if e.subjectsAs != "" {
		fields = append(fields, zap.Int(e.subjectsAs, len(current.subjects)))
	}
	return append(fields, zap.Duration("longest", current.longest), zap.Duration("for", current.last.Sub(current.began))), over
}

func (e *Episodes) keyField(key string) []zap.Field {
	if e.keyName == "" {
		return nil
	}
	return []zap.Field{zap.String(e.keyName, key)}
}
