package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"quaydock/pkg/declaration"
)

// check checks a declarations file.
func check(_ context.Context, args []string, out, _ io.Writer) error {
	if len(args) != 1 {
		return fmt.Errorf("%w: check takes one file", errUsage)
	}
	document, err := os.ReadFile(args[0])
	if err != nil {
		return fmt.Errorf("reading declarations: %w", err)
	}
	set, err := declaration.Parse(document)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	report(out, fmt.Sprintf("%s: valid: %d tiers, %d accounts, %d services, %d targets, %d placements",
		args[0], len(set.Tiers), len(set.Accounts), len(set.Services), len(set.Targets), len(set.Placements)))
	return nil
}
