// Package explain finds in the daemons' logs what befell one request, item, batch,
// replica, service, content or window of usage, or how a daemon was stopped, and puts it in the
// order of time over all machines.
//
// # Usage
//
//	err := explain.Explain(os.Stdout, id, logOfOneDaemon, logOfAnother)
//
// Lines that name the id have a star. The last ones are conclusions: the decision that
// ended its way, the planned stop that turned it away or interrupted it, its tenant, the
// counts behind a report, the reason of an order for replicas.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// ErrNotFound: no line names the id.
var ErrNotFound = errors.New("explain: no line names this id")

const (
	maxLineBytes = 1 << 20
	// routineOutcome is that of a reader who got results.
	routineOutcome = "results"
)

// linkKeys are the fields by which lines belong together.
var linkKeys = []string{"request", "item", "reward", "batch", "replica", "window", "service", "content"}

// batchEvents, replicaEvents and contentEvents are the lines that explain an item or a
// request although they do not name it.
var (
	batchEvents = map[string]bool{"batch owned": true, "batch job ended": true, "batch time breakdown": true, "batch released": true,
		"batch taken over": true, "batch not taken over": true, "batch takeover outcome unknown": true,
		"results not listed yet": true, "results listed": true,
		"items given back": true, "released batch has no owner": true, "batch released unstarted": true, "release not recorded": true, "batch ended before its acceptance": true, "batch submitted after its end": true,
		"heartbeat not recorded": true, "heartbeats recorded again": true, "silence of the owner not confirmed": true}
	replicaEvents = map[string]bool{"replica listed": true, "replica state changed": true, "replica started again": true,
		"replica entry rejected": true, "replica gone from the list": true, "replica failed": true, "weight change ordered": true, "weight change ended": true}
	contentEvents = map[string]bool{"replica ended while running content": true, "content entry merged": true,
		"content cleared": true, "isolated run started": true}
	// contextEvents are told of each node that a line of the story comes from.
	contextEvents = map[string]bool{"started": true, "stopping": true, "stopped": true,
		"dependency lost": true, "dependency regained": true, "configuration in force": true,
		"lease claimed": true, "lease lost": true, "log lines dropped": true, "log lines left out": true}
)

// line is one log line.
type line struct {
	time   string
	node   string
	event  string
	fields [][2]string
	order  int
}

func (l *line) get(key string) string {
	for _, field := range l.fields {
		if field[0] == key {
			return field[1]
		}
	}
	return ""
}

// read takes the log lines out of a text. What stands before the first
// key=value pair of a line, and lines without an event, are passed over.
func read(source io.Reader, lines []*line) ([]*line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "time=")
		if start < 0 {
			continue
		}
		if parsed := parse(text[start:]); parsed != nil {
			parsed.order = len(lines)
			lines = append(lines, parsed)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: read")
}

func parse(text string) *line {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	parsed := &line{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				parsed.time = value
			case "node":
				parsed.node = value
			case "event":
				parsed.event = eventName(value)
			case "level":
			default:
				parsed.fields = append(parsed.fields, [2]string{key, value})
			}
		}
	}
	if decoder.Err() != nil || parsed.event == "" {
		return nil
	}
	return parsed
}

// Explain writes the story of an id from the logs.
func Explain(output io.Writer, id string, sources ...io.Reader) error {
	var lines []*line
	for _, source := range sources {
		var err error
		if lines, err = read(source, lines); err != nil {
			return err
		}
	}
	inOrder(lines)
	stops := stopsOf(lines)
	own, batches, replicas := directLines(lines, id)
	story := related(lines, own, batches, replicas, contentsOf(own))
	story = append(story, linesOfStops(stops, id)...)
	if len(story) == 0 && slices.ContainsFunc(lines, func(l *line) bool { return l.node == id }) {
		_, err := fmt.Fprintf(output, "%s: no planned stop is in these logs\n", id)
		return err
	}
	if len(story) == 0 {
		return errors.Wrap(ErrNotFound, id)
	}
	inOrder(story)
	story = slices.Compact(story)
	for _, l := range story {
		mark := " "
		if own[l] {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %s %s: %s%s\n", mark, l.time, l.node, l.event, fieldsText(l))
	}
	_, err := fmt.Fprintln(output)
	for _, l := range conclusions(id, story, own, stops) {
		_, err = fmt.Fprintf(output, "%s: %s\n", id, l)
	}
	return err
}

// inOrder sorts lines by time, those of one moment as they were read.
func inOrder(lines []*line) {
	slices.SortFunc(lines, func(a, b *line) int {
		return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.order, b.order))
	})
}

// linesOfStops are the lines of the stops of a daemon, or the steps of those that befell
// a request.
func linesOfStops(stops []*stop, id string) []*line {
	var lines []*line
	ofDaemon, ofRequest := stopped(stops, id)
	for _, stop := range ofDaemon {
		lines = append(lines, stop.story()...)
	}
	for _, stop := range ofRequest {
		for _, l := range stop.lines {
			if stopSteps[l.event] {
				lines = append(lines, l)
			}
		}
	}
	return lines
}

// directLines are the lines that name the id, with the batches and replicas
// that they name.
func directLines(lines []*line, id string) (own map[*line]bool, batches, replicas map[string]bool) {
	own, batches, replicas = map[*line]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		for _, key := range linkKeys {
			if l.get(key) == id {
				own[l] = true
			}
		}
		if own[l] && l.get("outcome") == routineOutcome {
			// Readers come again and again; their answers say nothing new.
			delete(own, l)
		}
		if own[l] {
			batches[l.get("batch")] = true
			// A batch uses all replicas; only what names one request or item
			// depends on the state of single ones.
			if l.get("batch") != id {
				replicas[l.get("replica")] = true
			}
		}
	}
	delete(batches, "")
	delete(replicas, "")
	return own, batches, replicas
}

// contentsOf are the contents that lines name.
func contentsOf(lines map[*line]bool) map[string]bool {
	contents := map[string]bool{}
	for l := range lines {
		contents[l.get("content")] = true
	}
	delete(contents, "")
	return contents
}

// related are the lines of the story: those that name the id, what was said of its
// content, and what was said of its batch, its replicas and its daemons in the meantime.
func related(lines []*line, own map[*line]bool, batches, replicas, contents map[string]bool) []*line {
	first, last := "", ""
	nodes := map[string]bool{}
	for l := range own {
		nodes[l.node] = true
		if first == "" || l.time < first {
			first = l.time
		}
		if l.time > last {
			last = l.time
		}
	}
	var story []*line
	for _, l := range lines {
		within := l.time >= first && l.time <= last
		switch {
		case own[l]:
		case batchEvents[l.event] && batches[l.get("batch")]:
		case l.event == eventRequest && l.get("outcome") == "accepted" && (batches[l.get("request")] || batches[l.get("batch")]):
		case within && replicaEvents[l.event] && replicas[l.get("replica")] && nodes[l.node]:
		case contentEvents[l.event] && contents[l.get("content")]:
		case within && contextEvents[l.event] && nodes[l.node]:
		default:
			continue
		}
		story = append(story, l)
	}
	return story
}

func fieldsText(l *line) string {
	text := ""
	for _, field := range l.fields {
		if field[1] != "" {
			text += " " + field[0] + "=" + field[1]
		}
	}
	return text
}
