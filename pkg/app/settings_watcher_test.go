package app

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/network"
	"quaydock/platform"
)

// settingsText is a settings file; %REVOKE% stands for its revoke_ms.
const settingsText = `{"node":"n","ip":"10.1.0.25","internal_ports":[7600,7615],"platform":{"address":"10.200.1.7:80"},"bounds":{"revoke_ms":%REVOKE%,"grace_s":8}}`

// writeSettings writes the settings file with a value of revoke_ms.
func writeSettings(t *testing.T, path, revoke string) {
	t.Helper()
	text := strings.Replace(settingsText, "%REVOKE%", revoke, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against changed settings that apply only after a restart, and against invalid ones that replace those in
// force.
func TestChangedSettingsAreAppliedOnASignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	writeSettings(t, path, "5000")
	got := make(chan clock.Millis, 4)
	w := newSettingsWatcher(commontest.New(network.NewMemory(nil)), path, func(s platform.Settings) { got <- s.Bounds.Revoke })
	signals := make(chan os.Signal)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	go w.run(ctx, signals)
	writeSettings(t, path, "nonsense") // invalid settings change nothing
	signals <- os.Interrupt
	writeSettings(t, path, "4000")
	signals <- os.Interrupt
	select {
	case revoke := <-got:
		if revoke != 4000 {
			t.Errorf("revoke_ms is %d, want 4000", revoke)
		}
	case <-ctx.Done():
		t.Error("the changed settings were not applied")
	}
}
