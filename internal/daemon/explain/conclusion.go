package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// conclusions say what decided the story of an id, a sentence each.
func conclusions(id string, story []*line, own map[*line]bool, stops []*stop) []string {
	ofDaemon, ofRequest := stopped(stops, id)
	var told []string
	for _, each := range ofDaemon {
		told = append(told, each.summary())
	}
	if outcome := outcomeOf(story, own); outcome != "" {
		told = append(told, outcome)
	}
	for _, each := range ofRequest {
		told = append(told, each.befell(id))
	}
	if turn := admissionOf(story, own, id); turn != "" {
		told = append(told, turn)
	}
	if window := windowOf(story, own, id); window != nil {
		told = append(told, window...)
	}
	if order := orderOf(story, own, id); order != "" {
		told = append(told, order)
	}
	if len(told) == 0 {
		told = append(told, "no outcome is in these logs")
	}
	if tenant := tenantOf(story); tenant != "" && hasTenant(own, id) {
		told = append(told, "tenant "+tenant)
	}
	return told
}

// outcomeOf is the last decision that ended the id's way, "" if none is there.
func outcomeOf(story []*line, own map[*line]bool) string {
	for i := len(story) - 1; i >= 0; i-- {
		each := story[i]
		outcome := each.get("outcome")
		if !own[each] || outcome == "" {
			continue
		}
		text := fmt.Sprintf("%s on %s: %s", each.event, each.node, outcome)
		if reason := each.get("reason"); reason != "" {
			text += ", because: " + reason
		}
		return text
	}
	return ""
}

// tenantOf is the one tenant that the requests of a story have, "" if there is none or
// more than one.
func tenantOf(story []*line) string {
	tenant := ""
	for _, each := range story {
		found := each.get("tenant")
		if each.event != eventRequest || found == "" {
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
	for each := range own {
		for _, key := range []string{"request", "item", "reward", "batch"} {
			if each.get(key) == id {
				return true
			}
		}
	}
	return false
}

// admissionOf is why a request waited for its turn at a full service, or got none, "" if it
// did neither.
func admissionOf(story []*line, own map[*line]bool, request string) string {
	for i := len(story) - 1; i >= 0; i-- {
		each := story[i]
		if !own[each] || each.event != "admission" || each.get("request") != request {
			continue
		}
		text := fmt.Sprintf("service %s was full for %s: %s after %s s of waiting", each.get("service"), each.node, each.get("outcome"), each.get("waited"))
		if reason := each.get("reason"); reason != "" {
			text += ", because: " + reason
		}
		return text + fmt.Sprintf(" (%s others waited, %s places were this daemon's part, the queue would have drained in %s s, an answer needed %s s of the %s s left; last seen to be full %s s before)",
			each.get("queue"), each.get("places"), each.get("drain"), each.get("need"), each.get("left"), each.get("full_age"))
	}
	return ""
}

// orderOf is the last order for replicas of a service with its reason, "" if there is none.
func orderOf(story []*line, own map[*line]bool, service string) string {
	for i := len(story) - 1; i >= 0; i-- {
		each := story[i]
		if !own[each] || each.event != "replicas ordered" || each.get("service") != service {
			continue
		}
		text := fmt.Sprintf("ordered %s in zone %s by %s, because: need=%s, zones (listed/ordered before)=%s, loads (items x time a slot/deadline)=%s",
			each.get("desired"), each.get("zone"), each.node, each.get("need"), each.get("zones"), each.get("loads"))
		if failed := each.get("error"); failed != "" {
			text += "; the order failed: " + failed
		}
		return text
	}
	return ""
}

// windowOf compares a window's figures with the counts in the logs, nil if the window was
// not decided in them.
func windowOf(story []*line, own map[*line]bool, window string) []string {
	var decided, reported *line
	counted := map[string]int64{}
	requests := int64(0)
	daemons := map[string]bool{}
	for _, each := range story {
		if !own[each] || each.get("window") != window {
			continue
		}
		switch {
		case each.event == "usage decided" && each.get("error") == "" && decided == nil:
			decided = each
		case each.event == "usage reported" && each.get("error") == "":
			reported = each
		case each.event == "usage counted":
			daemons[each.node] = true
			requests += number(each.get("requests"))
			addCounts(counted, each.get("counts"), 1)
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
	told := []string{text, fmt.Sprintf("%d requests were counted by %d daemons in these logs", requests, len(daemons))}
	addCounts(counted, decided.get("counts"), -1)
	return append(told, differences(counted)...)
}

// differences says for which tenants the counts in the logs are not the figures.
func differences(byTenant map[string]int64) []string {
	var told []string
	for tenant, difference := range byTenant {
		switch {
		case difference > 0:
			told = append(told, fmt.Sprintf("%d requests of %s were counted and are not in the figures: they came after the decision", difference, tenant))
		case difference < 0:
			told = append(told, fmt.Sprintf("%d requests of %s are in the figures and not counted in these logs: a daemon's log is missing, or it was killed before it told", -difference, tenant))
		}
	}
	sort.Strings(told)
	return told
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
