package node

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowHandler takes five seconds for the path /slow.
func slowHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		time.Sleep(5 * time.Second)
	}
	wholeHandler(w, r)
}

// A pipelined request arrives in the same segment as its predecessor and is answered without
// another read; its connection must not be closed as idle meanwhile.
func TestPipelinedRequestIsNotClosedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newPipeListener(http.HandlerFunc(slowHandler))
		defer d.closeNow()
		d.applyConfiguration(idleTimeoutConfiguration(1, 2*time.Second))
		client := d.dial()
		go func() {
			_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		}()
		first, err := http.ReadResponse(client.r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, first.Body)
		is.NoErr(err)
		answered := make(chan error, 1)
		go func() {
			_, err := http.ReadResponse(client.r, nil)
			answered <- err
		}()
		for range 4 {
			time.Sleep(time.Second)
			d.conns.closeExpired(time.Now())
			d.conns.closeIdleSince(time.Now())
		}
		is.NoErr(<-answered)
	})
}

// One to three stray bytes after an answer, such as a line end that some clients send after a body,
// must not keep a connection open for ever or delay a stop: net/http sets no deadline before the
// fourth byte.
func TestConnectionWithIncompleteRequestIsClosed(t *testing.T) {
	withStrayBytes := func(t *testing.T) *pipeListener {
		is := is.New(t)
		d := newPipeListener(http.HandlerFunc(wholeHandler))
		client := d.dial()
		_, err := client.get("/")
		is.NoErr(err)
		synctest.Wait()
		_, err = io.WriteString(client, "\r\n")
		is.NoErr(err)
		synctest.Wait()
		return d
	}
	t.Run("while the daemon runs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := withStrayBytes(t)
			defer d.closeNow()
			time.Sleep(defaultHeaderTimeout)
			d.conns.closeExpired(time.Now())
			is.Equal(len(d.conns.all()), 1)
			time.Sleep(time.Second)
			d.conns.closeExpired(time.Now())
			is.Equal(len(d.conns.all()), 0)
		})
	})
	t.Run("during a stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := withStrayBytes(t)
			defer d.closeNow()
			ctx, cancel := context.WithTimeout(context.Background(), testGrace)
			defer cancel()
			d.stop(ctx)
			is.NoErr(ctx.Err())
		})
	})
}
