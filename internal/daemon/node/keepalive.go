package node

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// maxKeepAlive is the longest Keep-Alive timeout in an answer. A planned stop waits this long
	// for idle connections; clients that pause for longer open a connection for each request.
	maxKeepAlive = 5 * time.Second
	// minKeepAlive is the shortest Keep-Alive timeout and its unit: the header has whole seconds.
	minKeepAlive = time.Second
	// keepAliveFraction is the fraction of the idle limit that is announced to clients; the rest is
	// for a request in transit.
	keepAliveFraction = 0.8
	// requestDelayMargin is how long after the announced timeout a request may still arrive,
	// delayed by the network or by a slow client or daemon.
	requestDelayMargin = time.Second
)

// keepAliveForStop returns the longest Keep-Alive timeout for a stop that interrupts requests after
// the given time, so that the last request on an idle connection can arrive before that. It is in
// whole seconds, and 0 if the time is too short for any.
func keepAliveForStop(interrupt time.Duration) time.Duration {
	keep := min(maxKeepAlive, interrupt-requestDelayMargin)
	if keep < minKeepAlive {
		return 0
	}
	return keep.Truncate(minKeepAlive)
}

// responseWriter sets the header fields about the connection when the head of an answer is written,
// not when its request begins: if a stop began in between, the answer closes the connection.
// Otherwise the connection would stay idle, and the stop would have to close it although its client
// may be sending a request.
type responseWriter struct {
	http.ResponseWriter
	listener       *clientListener
	headerPrepared bool
}

// prepareHeader sets the header fields about the connection, once.
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

// FlushError implements flushing for http.ResponseController.
func (a *responseWriter) FlushError() error {
	a.prepareHeader()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// keepAliveLimit returns the longest Keep-Alive timeout in an answer, or 0 if connections are not
// kept.
func (l *clientListener) keepAliveLimit() time.Duration { return time.Duration(l.keepAlive.Load()) }

// setConnectionHeader tells the client to close the connection, or else how long the connection is
// kept. The timeout is left out if it is below a second.
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
