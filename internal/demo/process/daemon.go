package process

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"woodworks/internal/daemon/settings"
)

// Daemon is a woodworks daemon whose settings and log are files of its name in a folder.
type Daemon struct {
	// Process is the newest of its processes.
	*Process
	Name string

	program, folder string
}

// StartDaemon writes the settings of a daemon and starts it.
func StartDaemon(program, folder string, cfg settings.Settings) (*Daemon, error) {
	d := &Daemon{Name: cfg.Name, program: program, folder: folder}
	encoded, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, errors.Wrap(err, "process: settings")
	}
	if err := os.WriteFile(d.file(".yaml"), encoded, 0o600); err != nil {
		return nil, errors.Wrap(err, "process: settings")
	}
	return d, d.StartAgain()
}

// StartAgain starts another process of the daemon, whose output goes to the end of its log.
func (d *Daemon) StartAgain() error {
	log, err := os.OpenFile(d.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "process: log file")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.program, "serve", "-c", d.file(".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	p, err := Start(d.Name, cmd)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// LogPath is where the daemon's log is.
func (d *Daemon) LogPath() string { return d.file(".log") }

func (d *Daemon) file(suffix string) string { return filepath.Join(d.folder, d.Name+suffix) }
