package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	eventRequest    = "request"
	eventSignal     = "signal"
	eventStopping   = "stopping"
	eventStopped    = "stopped"
	eventStarted    = "started"
	eventTurnedAway = "turned away by the stop"
	// stopBegins is what a signal that begins a planned stop has done.
	stopBegins = "a planned stop begins"
	// stopReason is the reason of a request that a planned stop ended.
	stopReason = "shutdown: the daemon stops"
)

// stopSteps are the lines of a planned stop as a whole, stopWork those of what it left to
// others or cut off.
var (
	stopSteps = map[string]bool{eventSignal: true, eventStopping: true, "group left": true, "listener closed": true,
		"requests interrupted by the stop": true, "lease resigned": true, eventStopped: true}
	stopWork = map[string]bool{eventTurnedAway: true, "batch released": true, "batch released unstarted": true,
		"items given back": true}
	// stopCuts are the outcomes of requests that were under way at the interruption.
	stopCuts = map[string]bool{"refused": true, "broken off": true, "interrupted": true}
)

// stop is one planned stop of a daemon: its lines in the order of the daemon's log.
type stop struct {
	node  string
	lines []*line
	// ended says that the line of its end is there.
	ended bool
}

// stopsOf finds the planned stops in the logs, whose lines are in the order of time.
func stopsOf(lines []*line) []*stop {
	var stops []*stop
	underWay := map[string]*stop{}
	for _, l := range lines {
		current := underWay[l.node]
		begins := l.event == eventSignal && l.get("done") == stopBegins || l.event == eventStopping
		switch {
		case l.event == eventStarted:
			// A run whose stop has no end was killed.
			delete(underWay, l.node)
			continue
		case begins && current == nil:
			current = &stop{node: l.node}
			stops = append(stops, current)
			underWay[l.node] = current
		case current == nil:
			continue
		}
		current.lines = append(current.lines, l)
		if l.event == eventStopped {
			current.ended = true
			delete(underWay, l.node)
		}
	}
	return stops
}

// interruptedAt is when the stop was to interrupt what was still under way, "" if that is
// not in the logs.
func (s *stop) interruptedAt() string {
	for _, l := range s.lines {
		if l.event != eventStopping {
			continue
		}
		at, err := time.Parse(time.RFC3339, l.time)
		after, badAfter := strconv.ParseFloat(l.get("interrupt"), 64)
		if err == nil && badAfter == nil {
			return at.Add(time.Duration(after * float64(time.Second))).Format(timeFormat)
		}
	}
	return ""
}

// timeFormat is that of times in logs.
const timeFormat = "2006-01-02T15:04:05.000Z"

// cut reports whether the stop ended a request that had begun before its interruption.
func (s *stop) cut(l *line) bool {
	if l.event != eventRequest || !stopCuts[l.get("outcome")] || s.turnedAway(l.get("request")) {
		return false
	}
	at := s.interruptedAt()
	return strings.Contains(l.get("reason"), stopReason) || at != "" && l.time >= at
}

// turnedAway reports whether the stop turned a request away.
func (s *stop) turnedAway(request string) bool {
	return slices.ContainsFunc(s.lines, func(l *line) bool {
		return l.event == eventTurnedAway && l.get("request") == request
	})
}

// story are the lines that tell the stop.
func (s *stop) story() []*line {
	var story []*line
	for _, l := range s.lines {
		if stopSteps[l.event] || stopWork[l.event] || s.cut(l) {
			story = append(story, l)
		}
	}
	return story
}

// summary says what became of the stop.
func (s *stop) summary() string {
	counts := map[string]int{}
	cuts := 0
	for _, l := range s.lines {
		counts[l.event]++
		if s.cut(l) {
			cuts++
		}
	}
	text := fmt.Sprintf("planned stop at %s: requests turned away %d, batches released %d, let go unbegun %d, "+
		"items given back %d times, requests interrupted %d", s.lines[0].time, counts[eventTurnedAway],
		counts["batch released"], counts["batch released unstarted"], counts["items given back"], cuts)
	if !s.ended {
		return text + "; its end is not in these logs"
	}
	return text + "; stopped after " + s.lines[len(s.lines)-1].get("took") + " s"
}

// befell says what the stop did to a request, "" if nothing.
func (s *stop) befell(request string) string {
	for _, l := range s.lines {
		switch {
		case l.get("request") != request:
		case l.event == eventTurnedAway:
			return fmt.Sprintf("turned away by the planned stop of %s, as it might have needed %s s and %s s were left",
				s.node, l.get("needed"), l.get("left"))
		case s.cut(l):
			return fmt.Sprintf("interrupted by the planned stop of %s: %s", s.node, l.get("outcome"))
		}
	}
	return ""
}

// stopped returns the stops of a daemon, or those that befell a request.
func stopped(stops []*stop, id string) (ofDaemon, ofRequest []*stop) {
	for _, l := range stops {
		if l.node == id {
			ofDaemon = append(ofDaemon, l)
		}
		if l.befell(id) != "" {
			ofRequest = append(ofRequest, l)
		}
	}
	return ofDaemon, ofRequest
}
