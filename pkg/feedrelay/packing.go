package feedrelay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"

	"quaydock/pkg/follow"
)

// pack encodes and compresses rows for a peer: rows of one table are much alike, and traffic to
// other failure domains is charged by the byte.
func pack(rows []follow.Row) ([]byte, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("packing rows: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(rows); err != nil {
		return nil, fmt.Errorf("packing rows: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("packing rows: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]follow.Row, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var rows []follow.Row
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(packed))).Decode(&rows); err != nil {
		return nil, fmt.Errorf("unpacking rows: %w", err)
	}
	return rows, nil
}
