package main

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

const settingsText = `name: "e"
domain: "a"
callers: "127.0.0.1:8080"
ready: "127.0.0.1:8081"
store: {address: "127.0.0.1:7000"}
`

// TestSettingsReload checks that SIGHUP reloads the settings and does not end the process,
// that a file that changed without a signal is reloaded too, and that a file with errors
// changes nothing.
func TestSettingsReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(more string) {
		if err := os.WriteFile(file, []byte(settingsText+more), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	changed := watch(t.Context(), file, log.New(io.Discard))
	next := func() string {
		select {
		case s := <-changed:
			return s.LogLevel
		case <-time.After(20 * time.Second):
			t.Fatal("the settings were not read again")
			return ""
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := next(); got != "info" {
		t.Errorf("on the signal: %q", got)
	}
	write("log_level: loud\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	write("log_level: warn\n")
	if got := next(); got != "warn" {
		t.Errorf("after the change: %q", got)
	}
}

func TestMissingSettingsFile(t *testing.T) {
	if _, err := readSettings(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file was read")
	}
}
