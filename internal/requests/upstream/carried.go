package upstream

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is how many ids a connection remembers. A copy of an answer arrives where one of the
// next answers is due, so by the time an id is forgotten, its copy would have been received.
const maxCarriedIDs = 64

// idSeed is the seed of the hashes of ids.
var idSeed = maphash.MakeSeed()

// carriedIDs holds hashes of the ids of the last requests that were sent on a connection. Two ids
// with the same hash only cost a connection. The zero value is empty.
type carriedIDs struct {
	hashes []uint64
	// count is the number of requests that were sent, including those without an id.
	count int
}

// idHash returns the hash of a request's id, or 0 if it has none.
func idHash(req *Request) uint64 {
	if req.EchoValue == "" {
		return 0
	}
	return max(maphash.String(idSeed, req.EchoValue), 1)
}

// add records that a request with the given idHash is sent.
func (c *carriedIDs) add(id uint64) {
	c.count++
	switch {
	case id == 0:
	case len(c.hashes) < maxCarriedIDs:
		c.hashes = append(c.hashes, id)
	default:
		c.hashes[(c.count-1)%maxCarriedIDs] = id
	}
}

// has reports whether a request with the given idHash was sent.
func (c *carriedIDs) has(id uint64) bool { return id != 0 && slices.Contains(c.hashes, id) }
