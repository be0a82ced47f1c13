package relay

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Gossip forwarded to the neighbours must reach all daemons, also if one has ended, while each
// daemon has no more neighbours than their number has binary digits.
func TestNeighboursReachAll(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{1, 2, 3, 7, 12, 100, 770} {
		next := map[string][]string{}
		for i := range count {
			p := &peers{byName: map[string]*peer{}}
			for other := range count {
				if other != i {
					p.byName[daemonName(other)] = &peer{}
				}
			}
			j := &Journal{options: Options{Name: daemonName(i)}, peers: p, logger: zap.NewNop()}
			next[daemonName(i)] = j.Neighbours()
			is.True(len(next[daemonName(i)]) <= bits.Len(uint(count)))
		}
		for _, gone := range []string{"", daemonName(count / 2)} {
			wanted := count
			if gone != "" {
				wanted--
			}
			if wanted > 0 {
				is.Equal(countReached(next, daemonName(0), gone), wanted)
			}
		}
	}
}

func daemonName(i int) string { return fmt.Sprintf("d%04d", i) }

// countReached counts the daemons that receive gossip which starts at first, while gone forwards
// nothing.
func countReached(next map[string][]string, first, gone string) int {
	if first == gone {
		return 0
	}
	known := map[string]bool{first: true}
	for news := []string{first}; len(news) > 0; {
		at := news[0]
		news = news[1:]
		for _, to := range next[at] {
			if to != gone && !known[to] {
				known[to] = true
				news = append(news, to)
			}
		}
	}
	return len(known)
}
