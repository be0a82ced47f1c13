package explain

// renamedEvents are the names that older daemons give to events, with those of today. Lines
// are read under the newer name, so that a story may be told by daemons of both.
var renamedEvents = map[string]string{
	"batch let go unbegun":                  "batch released unstarted",
	"begins to tell of its requests":        "reporting to other owners started",
	"has told that it has no requests":      "reporting to other owners stopped",
	"beliefs asked for":                     "occupancy snapshot requested",
	"owner's requests heard of":             "reports from another owner started",
	"owner's requests no longer known":      "report from another owner expired",
	"requests not told":                     "failed to encode report",
	"reports to other owners begin":         "reporting to other owners started",
	"reports to other owners end":           "reporting to other owners stopped",
	"occupancy asked for":                   "occupancy snapshot requested",
	"report of another owner begins":        "reports from another owner started",
	"report of another owner lapsed":        "report from another owner expired",
	"report not encoded":                    "failed to encode report",
	"report not sent":                       "failed to send report",
	"run cut":                               "attempt cancelled",
	"told from an older fold":               "answered from an older fold",
	"page not read, the holder is asked":    "page not read, asking the watcher",
	"own read is late, the holder is asked": "own read is late, asking the watcher",
	"question not answered":                 "query not answered",
	"partition read for a question":         "partition read for a query",
	"batch taken in":                        "rollout accepted",
	"key given back":                        "key released",
	"operator not answered":                 "answer to operator not written",
	"samples made again":                    "samples requested again",
	"samples not made again":                "samples not requested again",
	"samples not awaited":                   "failed to wait for samples",
	"offer failed":                          "attempt failed",
	"owners of partitions not learned":      "watchers of partitions not learned",
	"replica ended under a content":         "replica ended while running content",
	"content learned of":                    "content entry merged",
	"content forgotten":                     "content entry removed",
	"suspect runs alone":                    "isolated run started",
	"batch left":                            "batch job ended",
	"batch account":                         "batch time breakdown",
	"batch perhaps taken over":              "batch takeover outcome unknown",
	"owners not judged":                     "suspect owners not checked",
	"room left to other owners":             "starts held back for other owners",
	"suspect asked to run":                  "suspect content checked",
	"order":                                 "weight change ordered",
	"weights":                               "weight change ended",
	"replica's entry refused":               "replica entry rejected",

	"journal answers again":                             "lost calls given up",
	"malformed record passed over":                      "malformed record skipped",
	"permit record passed over":                         "invalid permit record skipped",
	"records trimmed, reading fully":                    "records trimmed, starting full read",
	"partition is shorter than was read, reading fully": "partition ends before the next offset, starting full read",
	"lease not read":                                    "failed to read lease",
	"lease not claimed":                                 "failed to claim lease",
	"lease not renewed":                                 "failed to renew lease",
	"lease not settled":                                 "failed to read conflicting lease records",
	"lease record not understood":                       "failed to decode lease record",
	"partitions dealt":                                  "partitions assigned",
	"predecessors not learned":                          "failed to list predecessors",
}

// eventName returns the name that an event has today.
func eventName(written string) string {
	if name, ok := renamedEvents[written]; ok {
		return name
	}
	return written
}
