// Package explain finds in the daemons' logs what befell one request, item, batch,
// replica, service or window of usage, and puts it in the order of time over all machines.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
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
var linkKeys = []string{"request", "item", "reward", "batch", "replica", "window", "service"}

// batchEvents and replicaEvents are the lines that explain an item or a request
// although they do not name it.
var (
	batchEvents   = map[string]bool{"batch owned": true, "batch left": true, "batch account": true, "batch released": true, "batch taken over": true, "batch not taken over": true, "results not listed yet": true, "results listed": true}
	replicaEvents = map[string]bool{"replica listed": true, "replica state changed": true, "replica gone from the list": true, "replica failed": true, "order": true, "weights": true}
	// contextEvents are told of each node that a line of the story comes from.
	contextEvents = map[string]bool{"started": true, "stopping": true, "stopped": true, "dependency lost": true, "dependency regained": true,
		"configuration in force": true, "lease claimed": true, "lease lost": true, "log lines dropped": true, "log lines left out": true}
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
				parsed.event = value
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
	own, batches, replicas := directLines(lines, id)
	if len(own) == 0 {
		return errors.Wrap(ErrNotFound, id)
	}
	story := related(lines, own, batches, replicas)
	sort.SliceStable(story, func(i, j int) bool {
		if story[i].time != story[j].time {
			return story[i].time < story[j].time
		}
		return story[i].order < story[j].order
	})
	for _, each := range story {
		mark := " "
		if own[each] {
			mark = "*"
		}
		_, _ = fmt.Fprintf(output, "%s %s %s: %s%s\n", mark, each.time, each.node, each.event, fieldsText(each))
	}
	_, err := fmt.Fprintf(output, "\n%s: %s\n", id, conclusion(story, own))
	return err
}

// directLines are the lines that name the id, with the batches and replicas
// that they name.
func directLines(lines []*line, id string) (own map[*line]bool, batches, replicas map[string]bool) {
	own, batches, replicas = map[*line]bool{}, map[string]bool{}, map[string]bool{}
	for _, each := range lines {
		for _, key := range linkKeys {
			if each.get(key) == id {
				own[each] = true
			}
		}
		if own[each] && each.get("outcome") == routineOutcome {
			// Readers come again and again; their answers say nothing new.
			delete(own, each)
		}
		if own[each] {
			batches[each.get("batch")] = true
			// A batch uses all replicas; only what names one request or item
			// depends on the state of single ones.
			if each.get("batch") != id {
				replicas[each.get("replica")] = true
			}
		}
	}
	delete(batches, "")
	delete(replicas, "")
	return own, batches, replicas
}

// related are the lines of the story: those that name the id, and what was said
// of its batch, its replicas and its daemons in the meantime.
func related(lines []*line, own map[*line]bool, batches, replicas map[string]bool) []*line {
	first, last := "", ""
	nodes := map[string]bool{}
	for each := range own {
		nodes[each.node] = true
		if first == "" || each.time < first {
			first = each.time
		}
		if each.time > last {
			last = each.time
		}
	}
	var story []*line
	for _, each := range lines {
		within := each.time >= first && each.time <= last
		switch {
		case own[each]:
		case batchEvents[each.event] && batches[each.get("batch")]:
		case within && replicaEvents[each.event] && replicas[each.get("replica")] && nodes[each.node]:
		case within && contextEvents[each.event] && nodes[each.node]:
		default:
			continue
		}
		story = append(story, each)
	}
	return story
}

func fieldsText(each *line) string {
	text := ""
	for _, field := range each.fields {
		if field[1] != "" {
			text += " " + field[0] + "=" + field[1]
		}
	}
	return text
}

// conclusion names the decision that ended the story.
func conclusion(story []*line, own map[*line]bool) string {
	for i := len(story) - 1; i >= 0; i-- {
		each := story[i]
		if !own[each] {
			continue
		}
		if outcome := each.get("outcome"); outcome != "" {
			text := fmt.Sprintf("%s on %s: %s", each.event, each.node, outcome)
			if reason := each.get("reason"); reason != "" {
				text += ", because: " + reason
			}
			return text
		}
	}
	return "no outcome is in these logs"
}
