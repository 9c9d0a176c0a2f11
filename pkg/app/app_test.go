package app_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"quaydock/pkg/app"
	"quaydock/pkg/ctl"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"quaydock": func() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"quayctl":  func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// The scripts in testdata are the daemon's command line as a user meets it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			root, err := os.Getwd()
			env.Setenv("ROOT", root+"/../..")
			return err
		},
	})
}
