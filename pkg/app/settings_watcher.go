package app

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/platform"
)

// watchEvery is how often the settings file is read: it may change without a
// signal.
const watchEvery = 3 * clock.Second

// settingsWatcher takes over the settings that may change while a process runs.
type settingsWatcher struct {
	common.Common
	path  string
	last  []byte
	apply func(platform.Settings)
}

func newSettingsWatcher(c common.Common, path string, apply func(platform.Settings)) *settingsWatcher {
	w := &settingsWatcher{Common: c, path: path, apply: apply}
	if document, err := os.ReadFile(path); err == nil {
		w.last = document
	}
	return w
}

// run looks at the file at once when told to, and from time to time, until ctx
// ends.
func (w *settingsWatcher) run(ctx context.Context, now <-chan os.Signal) {
	for ctx.Err() == nil {
		wait, stop := context.WithTimeout(ctx, watchEvery.Duration())
		select {
		case <-now:
		case <-wait.Done():
		}
		stop()
		if err := w.look(); err != nil {
			w.Log.WithError(err).Warn("settings not read; those in force stay")
		}
	}
}

func (w *settingsWatcher) look() error {
	document, err := os.ReadFile(w.path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if bytes.Equal(document, w.last) {
		return nil
	}
	s, err := platform.ParseSettings(document)
	if err != nil {
		return err
	}
	w.last = document
	w.Log.WithField("bounds", fmt.Sprintf("%+v", s.Bounds)).Info("settings changed")
	w.apply(s)
	return nil
}
