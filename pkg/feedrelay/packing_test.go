package feedrelay

import (
	"fmt"
	"testing"

	"quaydock/pkg/follow"
)

// targets returns rows as targets write them about themselves, and their size in bytes.
func targets(n int) (rows []follow.Row, size int) {
	for i := range n {
		row := follow.Row{
			Key:   fmt.Sprintf("i-%010x", i*2654435761%(1<<40)),
			Value: fmt.Appendf(nil, `{"service":"vopu61a","address":"10.%d.%d.%d:8063","zone":"hall-%d","version":1,"slots":8,"state":"ready","cold_remaining_ms":0,"sequence":%d}`, i%6, i/250, i%250, i%6, i*37%1000),
		}
		rows = append(rows, row)
		size += len(row.Key) + len(row.Value)
	}
	return rows, size
}

// Guards against traffic between failure domains that grows with the rows sent as they are, and against truncated rows
// that are taken for all.
func TestRowsArePackedForPeers(t *testing.T) {
	rows, size := targets(3000)
	packed, err := pack(rows)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes packed into %d", size, len(packed))
	if len(packed) > size/5 {
		t.Errorf("packed size is %d of %d bytes, want at most a fifth", len(packed), size)
	}
	got, err := unpack(packed)
	if err != nil || len(got) != len(rows) || string(got[7].Value) != string(rows[7].Value) {
		t.Errorf("%d rows unpacked, or other values: %v", len(got), err)
	}
	if _, err := unpack(packed[:len(packed)/2]); err == nil {
		t.Error("truncated packed rows were accepted")
	}
}

// BenchmarkPack packs a list of 3,000 targets, which an entry does for each starting entry that
// requests a snapshot from it.
func BenchmarkPack(b *testing.B) {
	rows, _ := targets(3000)
	for b.Loop() {
		if _, err := pack(rows); err != nil {
			b.Fatal(err)
		}
	}
}
