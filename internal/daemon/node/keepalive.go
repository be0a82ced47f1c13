package node

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// maxKeepAlive is the longest that an answer tells a client to keep its connection
	// for another request. A planned stop waits for that long, so that it costs a stop
	// time; a client that comes more seldom makes a connection for each request, a round
	// trip. Five seconds are also what Node.js keeps connections for.
	maxKeepAlive = 5 * time.Second
	// minKeepAlive is the least that an answer can tell, which it does in whole seconds.
	minKeepAlive = time.Second
	// keepAliveFraction is the part of the idle limit after which clients take up no connection:
	// the rest is for a request on its way.
	keepAliveFraction = 0.8
	// requestDelayMargin is how much later than it was told to a client's request may arrive:
	// its way, and a client or a daemon that is slow to run.
	requestDelayMargin = time.Second
)

// keepAliveForStop is what answers tell clients where a stop interrupts requests after a while: all
// connections that they keep can be closed before, when the last request may have come. It
// is 0 where the grace is too short to keep any.
func keepAliveForStop(interrupt time.Duration) time.Duration {
	keep := min(maxKeepAlive, interrupt-requestDelayMargin)
	if keep < minKeepAlive {
		return 0
	}
	return keep.Truncate(minKeepAlive)
}

// responseWriter is the responseWriter to a request. What it tells of its connection is decided when its
// head is written: a request that was under way when a stop began ends its connection,
// which would otherwise rest and have to be closed under its client.
type responseWriter struct {
	http.ResponseWriter
	listener       *clientListener
	headerPrepared bool
}

// prepareHeader completes the head if it is not written yet.
func (a *responseWriter) prepareHeader() {
	if a.headerPrepared {
		return
	}
	a.headerPrepared = true
	a.listener.setConnectionHeader(a.Header())
}

// WriteHeader implements http.ResponseWriter.
func (a *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.prepareHeader()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *responseWriter) Write(p []byte) (int, error) {
	a.prepareHeader()
	return a.ResponseWriter.Write(p)
}

// FlushError lets http.ResponseController flush.
func (a *responseWriter) FlushError() error {
	a.prepareHeader()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the real writer.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (l *clientListener) keepAliveLimit() time.Duration { return time.Duration(l.keepAlive.Load()) }

// setConnectionHeader says in an answer's head what becomes of its connection.
func (l *clientListener) setConnectionHeader(header http.Header) {
	keep := l.keepAliveLimit()
	if l.draining.Load() || keep == 0 {
		header.Set("Connection", "close")
		return
	}
	kept := min(keep, time.Duration(keepAliveFraction*float64(l.conns.limits.Load().idle)))
	if seconds := int(kept / time.Second); seconds > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}
