// Quaydock is the daemon: an entry, an agent, or several roles for a trial.
package main

import (
	"os"

	"quaydock/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
