package entry

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/entry/settings"
)

// reload applies settings that were read again. It interrupts nothing.
func (d *Daemon) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-d.Reload:
			d.apply(s)
		}
	}
}

func (d *Daemon) apply(s settings.Settings) {
	before := *d.bounds.Load()
	d.bounds.Store(&s.Bounds)
	level, err := log.ParseLevel(s.LogLevel)
	if err == nil {
		d.Log.SetLevel(level)
	}
	moved := s.Callers != d.Settings.Callers || s.Ready != d.Settings.Ready || s.Store != d.Settings.Store
	d.Log.Info("settings read again", "bounds_changed", before != s.Bounds, "log_level", s.LogLevel, "addresses_changed", moved)
	if moved {
		d.Log.Warn("changed addresses take effect after a restart")
	}
}
