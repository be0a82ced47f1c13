package node

import "time"

// ready reports whether clients should use this daemon, and the reason if not.
func (n *Node) ready() (bool, string) {
	switch {
	case n.shutdown.Begun().Err() != nil:
		return false, "stopping"
	case n.operator.Configuration() == nil:
		return false, "no configuration is known"
	case !n.replicaFollower.Synced():
		return false, "the list of replicas has not been read"
	case n.journalSilence() > maxJournalSilence:
		return false, "the journal is silent"
	}
	return true, ""
}

// journalSilence returns the time since the journal last answered.
func (n *Node) journalSilence() time.Duration {
	return min(n.member.Silence(), n.operatorFollower.Silence(), n.replicaFollower.Silence())
}

// configurationAge returns how long ago the configuration was last known to be the newest.
func (n *Node) configurationAge() time.Duration {
	return n.operatorFollower.Silence()
}

// daemonCount returns how many daemons are known to share the journal, at least 1.
func (n *Node) daemonCount() int {
	if n.relay == nil {
		return 1
	}
	return n.relay.Daemons()
}
