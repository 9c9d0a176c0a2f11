package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"quaydock/pkg/declaration"
)

// check validates a declarations file and prints how many items of each kind it declares.
func check(_ context.Context, args []string, out, _ io.Writer) error {
	if len(args) != 1 {
		return fmt.Errorf("%w: check takes one file", errUsage)
	}
	set, err := loadDeclarations(args[0])
	if err != nil {
		return err
	}
	report(out, fmt.Sprintf("%s: valid: %d tiers, %d accounts, %d services, %d targets, %d placements",
		args[0], len(set.Tiers), len(set.Accounts), len(set.Services), len(set.Targets), len(set.Placements)))
	return nil
}

// loadDeclarations reads and validates a declarations file. The error wraps errInvalid if the contents are invalid.
func loadDeclarations(path string) (declaration.Set, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return declaration.Set{}, fmt.Errorf("reading declarations: %w", err)
	}
	set, err := declaration.Parse(document)
	if err != nil {
		return declaration.Set{}, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return set, nil
}
