package explain

import (
	"fmt"
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
	// oldReleasedUnstarted is what older daemons call "batch released unstarted".
	oldReleasedUnstarted = "batch let go unbegun"
	// stopBegins is what a signal that begins a planned stop has done.
	stopBegins = "a planned stop begins"
	// stopReason is the reason of a request that a planned stop ended.
	stopReason = "shutdown: the daemon stops"
)

// stopSteps are the lines of a planned stop as a whole, stopWork those of what it left to
// others or cut off.
var (
	stopSteps = map[string]bool{eventSignal: true, eventStopping: true, "group left": true, "listener closed": true, "requests interrupted by the stop": true,
		"lease resigned": true, eventStopped: true}
	stopWork = map[string]bool{eventTurnedAway: true, "batch released": true, "batch released unstarted": true, oldReleasedUnstarted: true, "items given back": true}
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
	for _, each := range lines {
		current := underWay[each.node]
		begins := each.event == eventSignal && each.get("done") == stopBegins || each.event == eventStopping
		switch {
		case each.event == eventStarted:
			// A run whose stop has no end was killed.
			delete(underWay, each.node)
			continue
		case begins && current == nil:
			current = &stop{node: each.node}
			stops = append(stops, current)
			underWay[each.node] = current
		case current == nil:
			continue
		}
		current.lines = append(current.lines, each)
		if each.event == eventStopped {
			current.ended = true
			delete(underWay, each.node)
		}
	}
	return stops
}

// interruptedAt is when the stop was to interrupt what was still under way, "" if that is
// not in the logs.
func (s *stop) interruptedAt() string {
	for _, each := range s.lines {
		if each.event != eventStopping {
			continue
		}
		at, err := time.Parse(time.RFC3339, each.time)
		after, badAfter := strconv.ParseFloat(each.get("interrupt"), 64)
		if err == nil && badAfter == nil {
			return at.Add(time.Duration(after * float64(time.Second))).Format(timeFormat)
		}
	}
	return ""
}

// timeFormat is that of times in logs.
const timeFormat = "2006-01-02T15:04:05.000Z"

// cut reports whether the stop ended a request that had begun before its interruption.
func (s *stop) cut(each *line) bool {
	if each.event != eventRequest || !stopCuts[each.get("outcome")] || s.turnedAway(each.get("request")) {
		return false
	}
	at := s.interruptedAt()
	return strings.Contains(each.get("reason"), stopReason) || at != "" && each.time >= at
}

// turnedAway reports whether the stop turned a request away.
func (s *stop) turnedAway(request string) bool {
	for _, each := range s.lines {
		if each.event == eventTurnedAway && each.get("request") == request {
			return true
		}
	}
	return false
}

// story are the lines that tell the stop.
func (s *stop) story() []*line {
	var story []*line
	for _, each := range s.lines {
		if stopSteps[each.event] || stopWork[each.event] || s.cut(each) {
			story = append(story, each)
		}
	}
	return story
}

// summary says what became of the stop.
func (s *stop) summary() string {
	counts := map[string]int{}
	cuts := 0
	for _, each := range s.lines {
		counts[each.event]++
		if s.cut(each) {
			cuts++
		}
	}
	text := fmt.Sprintf("planned stop at %s: requests turned away %d, batches released %d, let go unbegun %d, items given back %d times, requests interrupted %d",
		s.lines[0].time, counts[eventTurnedAway], counts["batch released"], counts["batch released unstarted"]+counts[oldReleasedUnstarted], counts["items given back"], cuts)
	if !s.ended {
		return text + "; its end is not in these logs"
	}
	return text + "; stopped after " + s.lines[len(s.lines)-1].get("took") + " s"
}

// befell says what the stop did to a request, "" if nothing.
func (s *stop) befell(request string) string {
	for _, each := range s.lines {
		switch {
		case each.get("request") != request:
		case each.event == eventTurnedAway:
			return fmt.Sprintf("turned away by the planned stop of %s, as it might have needed %s s and %s s were left", s.node, each.get("needed"), each.get("left"))
		case s.cut(each):
			return fmt.Sprintf("interrupted by the planned stop of %s: %s", s.node, each.get("outcome"))
		}
	}
	return ""
}

// stopped returns the stops of a daemon, or those that befell a request.
func stopped(stops []*stop, id string) (ofDaemon, ofRequest []*stop) {
	for _, each := range stops {
		if each.node == id {
			ofDaemon = append(ofDaemon, each)
		}
		if each.befell(id) != "" {
			ofRequest = append(ofRequest, each)
		}
	}
	return ofDaemon, ofRequest
}
