package ingress

import (
	"bytes"
	"io"
	"sync"

	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/holding"
)

// chunkBytes is how much of an answer is read ahead at a time. The first chunk is held whether
// there is room or not, and isn't counted.
const chunkBytes = 32 << 10

// mostChunks bounds what is read ahead of one answer, 16 MiB, also where the memory has no
// bound.
const mostChunks = 512

// readAhead is what has been read of an answer and not been written. A replica gives up an
// answer that is not read for some seconds, so that it is read as fast as it comes as long
// as there is room, however slowly the client reads.
//
// Invariant: there is room for all chunks but the first.
type readAhead struct {
	account *holding.Account

	mu     sync.Mutex
	turned sync.Cond
	chunks [][]byte
	// counted is for how many chunks room was taken.
	counted int
	// ended says that no chunk comes any more, err why; left that none is wanted.
	ended, left bool
	err         error
}

// read reads the source to its end, or until no more is wanted.
func (a *readAhead) read(source io.Reader) {
	for a.room() {
		chunk := make([]byte, chunkBytes)
		n, err := source.Read(chunk)
		if chunk = chunk[:n]; n < chunkBytes/2 {
			chunk = bytes.Clone(chunk)
		}
		a.put(chunk, err)
	}
}

// room waits until a further chunk may be read, and reports false if none is wanted.
func (a *readAhead) room() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.left && !a.ended {
		if len(a.chunks) == 0 {
			return true
		}
		if len(a.chunks) < mostChunks && a.account.Reserve(holding.Answers, chunkBytes) {
			a.counted++
			return true
		}
		a.turned.Wait() // until the client has taken a chunk
	}
	return false
}

// put adds what was read.
func (a *readAhead) put(chunk []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(chunk) > 0 {
		a.chunks = append(a.chunks, chunk)
	}
	a.ended, a.err = err != nil, err
	a.turned.Broadcast()
}

// next returns the next chunk to write, or why there is none.
func (a *readAhead) next() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.chunks) == 0 && !a.ended {
		a.turned.Wait()
	}
	if len(a.chunks) == 0 {
		return nil, a.err
	}
	return a.chunks[0], nil
}

// taken drops the chunk that next returned.
func (a *readAhead) taken() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks[0] = nil
	a.chunks = a.chunks[1:]
	if a.counted > 0 {
		a.counted--
		a.account.Release(holding.Answers, chunkBytes)
	}
	a.turned.Broadcast()
}

// leave says that no further chunk is wanted.
func (a *readAhead) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = true
	a.turned.Broadcast()
}

// writeAnswer writes an answer to the client, and reads ahead what is still to come of it.
func (r *request) writeAnswer(answer *forward.Answer) error {
	if answer.Rest == nil {
		_, err := r.w.Write(answer.Body)
		return err
	}
	a := &readAhead{account: r.account}
	a.turned.L = &a.mu
	var reading sync.WaitGroup
	reading.Go(func() { a.read(answer.Rest) })
	defer reading.Wait()
	defer a.leave()
	_, err := r.w.Write(answer.Body)
	for err == nil {
		var chunk []byte
		if chunk, err = a.next(); err != nil {
			break
		}
		if _, err = r.w.Write(chunk); err == nil {
			a.taken()
		}
	}
	if err == io.EOF {
		return nil
	}
	answer.Rest.Abandon()
	return err
}
