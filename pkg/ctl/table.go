package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printTable prints the lines that write writes, with the columns between their tabs aligned. Write errors are returned
// at the end, so that write may ignore them.
func printTable(out io.Writer, write func(w io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}
