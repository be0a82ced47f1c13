package signals

/*
#include <signal.h>

static int hangup_was_ignored;

// Runs before the Go runtime, which keeps an ignored SIGHUP ignored until it is asked for.
__attribute__((constructor)) static void ignore_hangup(void) {
	hangup_was_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
}

static int hangup_ignored_by_parent(void) { return hangup_was_ignored; }
*/
import "C"

// hangupIgnoredByParent reports whether the process was begun with SIGHUP ignored, as by nohup.
func hangupIgnoredByParent() bool { return C.hangup_ignored_by_parent() != 0 }
