package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// conclusions say what decided the story of an id, a sentence each.
func conclusions(id string, story []*line, own map[*line]bool, stops []*stop) []string {
	ofDaemon, ofRequest := stopped(stops, id)
	var sentences []string
	for _, l := range ofDaemon {
		sentences = append(sentences, l.summary())
	}
	sentences = append(sentences, outcomeOf(story, own))
	for _, l := range ofRequest {
		sentences = append(sentences, l.befell(id))
	}
	sentences = append(sentences, waitOf(story, own), admissionOf(story, own, id))
	sentences = append(sentences, windowOf(story, own, id)...)
	sentences = append(sentences, orderOf(story, own, id))
	sentences = slices.DeleteFunc(sentences, func(sentence string) bool { return sentence == "" })
	if len(sentences) == 0 {
		sentences = append(sentences, "no outcome is in these logs")
	}
	if tenant := tenantOf(story); tenant != "" && hasTenant(own, id) {
		sentences = append(sentences, "tenant "+tenant)
	}
	return sentences
}

// lastOf is the last line of a story that names its id and that is of a kind, nil if none is.
func lastOf(story []*line, own map[*line]bool, is func(l *line) bool) *line {
	for _, l := range slices.Backward(story) {
		if own[l] && is(l) {
			return l
		}
	}
	return nil
}

// outcomeOf is the last decision that ended the id's way, "" if none is there.
func outcomeOf(story []*line, own map[*line]bool) string {
	l := lastOf(story, own, func(l *line) bool { return l.get("outcome") != "" })
	if l == nil {
		return ""
	}
	return fmt.Sprintf("%s on %s: %s%s", l.event, l.node, l.get("outcome"), because(l))
}

// waitOf is the last wait of an item that is told, "" if none is.
func waitOf(story []*line, own map[*line]bool) string {
	l := lastOf(story, own, func(l *line) bool { return l.event == "item waits" || l.event == "item wait ended" })
	if l == nil {
		return ""
	}
	return fmt.Sprintf("waited on %s: %s s at no replica%s", l.node, l.get("waited"), because(l))
}

// because is the reason that a line gives, "" if it gives none.
func because(l *line) string {
	if reason := l.get("reason"); reason != "" {
		return ", because: " + reason
	}
	return ""
}

// tenantOf is the one tenant that the requests of a story have, "" if there is none or
// more than one.
func tenantOf(story []*line) string {
	tenant := ""
	for _, l := range story {
		found := l.get("tenant")
		if l.event != eventRequest || found == "" {
			continue
		}
		if tenant != "" && found != tenant {
			return ""
		}
		tenant = found
	}
	return tenant
}

// hasTenant reports whether an id is one that belongs to a tenant.
func hasTenant(own map[*line]bool, id string) bool {
	for l := range own {
		if slices.Contains([]string{l.get("request"), l.get("item"), l.get("reward"), l.get("batch")}, id) {
			return true
		}
	}
	return false
}

// admissionOf is why a request waited for its turn at a full service, or got none, "" if it
// did neither.
func admissionOf(story []*line, own map[*line]bool, request string) string {
	l := lastOf(story, own, func(l *line) bool { return l.event == "admission" && l.get("request") == request })
	if l == nil {
		return ""
	}
	return fmt.Sprintf("service %s was full for %s: %s after %s s of waiting%s (%s others waited, "+
		"%s places were this daemon's part, the queue would have drained in %s s, an answer needed %s s of the %s s left; "+
		"last seen to be full %s s before)", l.get("service"), l.node, l.get("outcome"), l.get("waited"), because(l),
		l.get("queue"), l.get("places"), l.get("drain"), l.get("need"), l.get("left"), l.get("full_age"))
}

// orderOf is the last order for replicas of a service with its reason, "" if there is none.
func orderOf(story []*line, own map[*line]bool, service string) string {
	l := lastOf(story, own, func(l *line) bool { return l.event == "replicas ordered" && l.get("service") == service })
	if l == nil {
		return ""
	}
	text := fmt.Sprintf("ordered %s in zone %s by %s, because: need=%s, zones (listed/ordered before)=%s, "+
		"loads (items x time a slot/deadline)=%s",
		l.get("desired"), l.get("zone"), l.node, l.get("need"), l.get("zones"), l.get("loads"))
	if failed := l.get("error"); failed != "" {
		text += "; the order failed: " + failed
	}
	return text
}

// windowOf compares a window's figures with the counts in the logs, nil if the window was
// not decided in them.
func windowOf(story []*line, own map[*line]bool, window string) []string {
	var decided, reported *line
	counted := map[string]int64{}
	requests := int64(0)
	daemons := map[string]bool{}
	for _, l := range story {
		if !own[l] || l.get("window") != window {
			continue
		}
		switch {
		case l.event == "usage decided" && l.get("error") == "" && decided == nil:
			decided = l
		case l.event == "usage reported" && l.get("error") == "":
			reported = l
		case l.event == "usage counted":
			daemons[l.node] = true
			requests += number(l.get("requests"))
			addCounts(counted, l.get("counts"), 1)
		}
	}
	if decided == nil {
		return nil
	}
	text := fmt.Sprintf("decided by %s as %s requests", decided.node, decided.get("requests"))
	if reported == nil {
		text += ", no report that the platform took is in these logs"
	} else {
		text += ", reported by " + reported.node
	}
	sentences := []string{text, fmt.Sprintf("%d requests were counted by %d daemons in these logs", requests, len(daemons))}
	addCounts(counted, decided.get("counts"), -1)
	return append(sentences, differences(counted)...)
}

// differences says for which tenants the counts in the logs are not the figures.
func differences(byTenant map[string]int64) []string {
	var sentences []string
	for tenant, difference := range byTenant {
		switch {
		case difference > 0:
			sentences = append(sentences, fmt.Sprintf(
				"%d requests of %s were counted and are not in the figures: they came after the decision", difference, tenant))
		case difference < 0:
			sentences = append(sentences, fmt.Sprintf("%d requests of %s are in the figures and not counted in these logs: "+
				"a daemon's log is missing, or it was killed before it told", -difference, tenant))
		}
	}
	slices.Sort(sentences)
	return sentences
}

// addCounts adds the counts of a line, as tenant:requests with commas between.
func addCounts(sums map[string]int64, text string, sign int64) {
	for part := range strings.SplitSeq(text, ",") {
		if at := strings.LastIndexByte(part, ':'); at >= 0 {
			sums[part[:at]] += sign * number(part[at+1:])
		}
	}
}

// number is that of a text, 0 if it has none.
func number(text string) int64 {
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		// A line that was cut off: the rest of the story is still worth telling.
		return 0
	}
	return parsed
}
