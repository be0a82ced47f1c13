package node

import "time"

// ready reports whether clients should come here, and why not.
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

// journalSilence is how long ago the journal last answered.
func (n *Node) journalSilence() time.Duration {
	return min(n.member.Silence(), n.operatorFollower.Silence(), n.replicaFollower.Silence())
}

// configurationAge is how long ago it was last confirmed that the configuration is the
// newest.
func (n *Node) configurationAge() time.Duration {
	return n.operatorFollower.Silence()
}

// daemonCount returns how many daemonCount share the journal, as far as is known.
func (n *Node) daemonCount() int {
	if n.relay == nil {
		return 1
	}
	return n.relay.Daemons()
}
