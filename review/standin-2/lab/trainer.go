package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"woodworks/platform/platformtest"
)

// Call makes one call of a client on a new connection and returns the status, 0 without an answer.
func (d *Daemon) Call(method, host, path string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host, req.Close = host, true
	for name, value := range header {
		req.Header.Set(name, value)
	}
	got, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = got.Body.Close() }()
	answer, err = io.ReadAll(got.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return got.StatusCode, answer
}

// Submit submits a batch at one daemon after the other until one has accepted it.
func (l *Lab) Submit(id, host, path string, batch platformtest.Batch) error {
	body, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	for try := range 8 {
		d := l.Daemons[try%len(l.Daemons)]
		status, answer := d.Call(http.MethodPost, host, path, map[string]string{"X-Attempt-Id": id, "Content-Type": "application/json"}, body, 4*time.Second)
		l.Note("batch %s at %s: %d %s", id, d.Name, status, answer)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("batch %s was not accepted", id)
}

// Results reads a batch from a position on.
func (d *Daemon) Results(id, host string, after int) (status int, page platformtest.ResultsPage) {
	status, answer := d.Call(http.MethodGet, host, "/lots/"+id+"?AfterRev="+strconv.Itoa(after),
		map[string]string{"X-Wait-Ms": "200"}, nil, 3*time.Second)
	if status == http.StatusOK && json.Unmarshal(answer, &page) != nil {
		return 0, page
	}
	return status, page
}
