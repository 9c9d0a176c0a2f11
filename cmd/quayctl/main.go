// Quayctl is the operator's command-line tool.
package main

import (
	"os"

	"quaydock/pkg/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
