// Quaydock is the daemon. It runs as an entry or an agent, or in several roles for
// tests.
package main

import (
	"os"

	"quaydock/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
