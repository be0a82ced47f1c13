package cli

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serving starts a daemon on a settings file with the given outputs and waits until it
// takes connections.
func serving(t *testing.T, stdout, stderr *os.File) *daemon {
	t.Helper()
	d := newDaemon(t)
	port := freePort(t)
	text := withPorts(t, strings.ReplaceAll(settingsText, "PUBLIC", port))
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.command.Stdout, d.command.Stderr = stdout, stderr
	d.start()
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp4", "127.0.0.1:"+port); err == nil {
			_ = conn.Close()
			return d
		}
	}
	t.Fatal("the daemon takes no connections")
	return nil
}

// fullPipe returns the writing end of a pipe that nobody reads and that has no room.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{4096, 1} {
		for {
			if _, err := w.Write(make([]byte, size)); err != nil {
				break
			}
		}
	}
	_ = w.Fd() // blocking again, as a process gets it
	return w
}

// A daemon whose standard output or error was closed by its reader died of SIGPIPE (exit
// 141) with whatever was in flight, at the next line that it logged.
func TestAClosedOutputEndsNothing(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	d := serving(t, w, w)
	is.NoErr(w.Close())
	_, err = io.ReadFull(r, make([]byte, 10))
	is.NoErr(err)
	is.NoErr(r.Close())
	d.signal(syscall.SIGHUP)
	d.signal(syscall.SIGTERM)
	is.NoErr(d.end())
}

// A reader that never reads holds up no stop. The line that says why a daemon ended was
// written to standard error without a bound: a daemon ended by a second interrupt, and
// one that could not start, stood for longer than the 9 s that were waited.
func TestOutputsThatNobodyReadsHoldUpNoEnd(t *testing.T) {
	t.Run("planned stop", func(t *testing.T) {
		is := is.New(t)
		full := fullPipe(t)
		d := serving(t, full, full)
		d.signal(syscall.SIGTERM)
		is.NoErr(d.end())
	})
	t.Run("ended by a second interrupt", func(t *testing.T) {
		is := is.New(t)
		full := fullPipe(t)
		d := serving(t, full, full)
		d.signal(syscall.SIGINT)
		time.Sleep(300 * time.Millisecond) // so that they are two; as one they make a planned stop
		d.signal(syscall.SIGINT)
		_ = d.end()
		is.True(d.command.ProcessState.Exited())
	})
	t.Run("wrong settings", func(t *testing.T) {
		is := is.New(t)
		full := fullPipe(t)
		d := newDaemon(t)
		is.NoErr(os.WriteFile(d.settings, []byte("zone: 1\n"), 0o600))
		d.command.Stdout, d.command.Stderr = full, full
		d.start()
		_ = d.end()
		is.Equal(d.command.ProcessState.ExitCode(), ExitUsage)
	})
}

// Standard output may be closed from the start, or be a file on a full disk.
func TestUnusableOutputsEndNothing(t *testing.T) {
	is := is.New(t)
	disk, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	is.NoErr(err)
	defer func() { _ = disk.Close() }()
	d := serving(t, disk, disk)
	d.signal(syscall.SIGTERM)
	is.NoErr(d.end())
}
