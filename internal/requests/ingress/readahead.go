package ingress

import (
	"bytes"
	"io"
	"sync"

	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/holding"
)

// readChunkBytes is the size of a chunk that is read ahead. A chunk that is read while no other
// is buffered needs no free memory and is not counted.
const readChunkBytes = 32 << 10

// maxChunks bounds the chunks that are read ahead of one answer (16 MiB), whether or not there
// is a memory budget.
const maxChunks = 512

// readAhead buffers the part of an answer that has been read from the replica and not yet
// written to the client. Replicas abort answers that are not read for some seconds, so an answer
// is read at the replica's speed while memory allows, even if the client reads slowly.
//
// Invariant: every buffered chunk but the first is counted in the account.
type readAhead struct {
	account *holding.Account

	mu      sync.Mutex
	changed sync.Cond
	chunks  [][]byte
	// counted is the number of chunks that are counted in the account.
	counted int
	// ended means that the source has no more chunks; err is then the error that ended it,
	// io.EOF if the source is complete. cancelled means that the writer wants no more chunks.
	ended, cancelled bool
	err              error
}

// read reads the source until it ends or cancel is called.
func (a *readAhead) read(source io.Reader) {
	for a.waitForSpace() {
		chunk := make([]byte, readChunkBytes)
		n, err := source.Read(chunk)
		if chunk = chunk[:n]; n < readChunkBytes/2 {
			chunk = bytes.Clone(chunk)
		}
		a.put(chunk, err)
	}
}

// waitForSpace waits until another chunk may be read. It returns false if reading was cancelled
// or the source has ended.
func (a *readAhead) waitForSpace() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.cancelled && !a.ended {
		if len(a.chunks) == 0 {
			return true
		}
		if len(a.chunks) < maxChunks && a.account.Reserve(holding.Answers, readChunkBytes) {
			a.counted++
			return true
		}
		a.changed.Wait() // woken when a chunk is dropped or the reading is cancelled
	}
	return false
}

// put appends a chunk unless it is empty. If err is not nil, put records it as the end of the
// source.
func (a *readAhead) put(chunk []byte, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(chunk) > 0 {
		a.chunks = append(a.chunks, chunk)
	}
	a.ended, a.err = err != nil, err
	a.changed.Broadcast()
}

// next waits for the first buffered chunk and returns it. If no chunk is left, next returns the
// error that ended the source. The chunk stays buffered until dropFirst is called.
func (a *readAhead) next() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.chunks) == 0 && !a.ended {
		a.changed.Wait()
	}
	if len(a.chunks) == 0 {
		return nil, a.err
	}
	return a.chunks[0], nil
}

// dropFirst removes the chunk that next returned.
func (a *readAhead) dropFirst() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks[0] = nil
	a.chunks = a.chunks[1:]
	if a.counted > 0 {
		a.counted--
		a.account.Release(holding.Answers, readChunkBytes)
	}
	a.changed.Broadcast()
}

// cancel makes read return before its next chunk. It does not interrupt a Read of the source in
// progress.
func (a *readAhead) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	a.changed.Broadcast()
}

// writeAnswerBody writes the body of an answer to the client. Meanwhile the rest of the answer
// is read ahead from the replica. If a write fails, the replica's answer is aborted.
func (r *request) writeAnswerBody(answer *forward.Answer) error {
	if answer.Remainder == nil {
		_, err := r.w.Write(answer.Body)
		return err
	}
	a := &readAhead{account: r.account}
	a.changed.L = &a.mu
	var reading sync.WaitGroup
	reading.Go(func() { a.read(answer.Remainder) })
	defer reading.Wait()
	defer a.cancel()
	_, err := r.w.Write(answer.Body)
	for err == nil {
		var chunk []byte
		if chunk, err = a.next(); err != nil {
			break
		}
		if _, err = r.w.Write(chunk); err == nil {
			a.dropFirst()
		}
	}
	if err == io.EOF {
		return nil
	}
	answer.Remainder.Abort()
	return err
}
