package app_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"quaydock/pkg/app"
	"quaydock/pkg/ctl"
)

// TestMain lets the scripts run the daemon and quayctl as commands of this test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"quaydock": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"quayctl":  func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata, which check the command line of the daemon and of quayctl. They run
// the examples of several processes at a loopback address of this test run's own: at the address that the
// examples name, two runs of the tests at once failed with "address already in use" at the operators' port.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			root, err := os.Getwd()
			if err != nil {
				return fmt.Errorf("finding the repository: %w", err)
			}
			host := ownHost()
			env.Setenv("ROOT", root+"/../..")
			env.Setenv("HOST", host)
			return moveExamples(root+"/../../examples/measure", env.WorkDir, host)
		},
	})
}

// exampleHost is the address in the examples.
const exampleHost = "127.0.0.1"

// ownHost returns a loopback address made of the process id, so that no other process on this VM uses it.
func ownHost() string {
	const mask = 1<<22 - 1 // the largest process id
	pid := os.Getpid() & mask
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)}).String()
}

// moveExamples copies the examples of a folder to another one, and replaces their address.
func moveExamples(from, to, host string) error {
	files, err := filepath.Glob(from + "/*.json")
	if err != nil {
		return fmt.Errorf("listing examples: %w", err)
	}
	moved := strings.NewReplacer(exampleHost, host, "examples/measure", to)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("reading an example: %w", err)
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(file)), []byte(moved.Replace(string(text))), 0o600); err != nil {
			return fmt.Errorf("moving an example: %w", err)
		}
	}
	return nil
}
