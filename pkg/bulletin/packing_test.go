package bulletin

import (
	"fmt"
	"testing"

	"quaydock/pkg/follow"
)

// targets is a list as targets write it of themselves.
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

func TestRowsArePassedOnPacked(t *testing.T) {
	rows, size := targets(3000)
	packed, err := pack(rows)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes packed into %d", size, len(packed))
	if len(packed) > size/5 {
		t.Errorf("%d bytes of %d are left", len(packed), size)
	}
	got, err := unpack(packed)
	if err != nil || len(got) != len(rows) || string(got[7].Value) != string(rows[7].Value) {
		t.Errorf("%d rows came back: %v", len(got), err)
	}
	if _, err := unpack(packed[:len(packed)/2]); err == nil {
		t.Error("half of them pass for all")
	}
}

// BenchmarkPack packs a list of 3,000 targets, which an entry does for each that starts and asks
// it: 4 ms.
func BenchmarkPack(b *testing.B) {
	rows, _ := targets(3000)
	for b.Loop() {
		if _, err := pack(rows); err != nil {
			b.Fatal(err)
		}
	}
}
