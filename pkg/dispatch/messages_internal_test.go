package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quaydock/pkg/planner"
)

// TestProgressOfEarlierBuildsIsRead guards against a layout of progress that entries of other builds cannot read.
func TestProgressOfEarlierBuildsIsRead(t *testing.T) {
	type earlierLoad struct {
		_                struct{} `cbor:",toarray"`
		Running, Waiting int
	}
	type earlierProgress struct {
		_        struct{} `cbor:",toarray"`
		Number   uint64
		Service  string
		Progress int
		Outcome  int
		Flow     planner.StreamStats
		Load     *earlierLoad
	}
	body, err := cbor.Marshal(earlierProgress{Number: 7, Service: "s", Load: &earlierLoad{Running: 2, Waiting: 1}})
	if err != nil {
		t.Fatal(err)
	}
	var now progressMessage
	if err := cbor.Unmarshal(body, &now); err != nil || now.Number != 7 || *now.Load != (planner.Load{Running: 2, Waiting: 1}) {
		t.Fatalf("got %+v, %v", now, err)
	}
	now.Load.Slowdown = 2.5
	body, err = cbor.Marshal(now)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierProgress
	if err := cbor.Unmarshal(body, &earlier); err != nil || *earlier.Load != (earlierLoad{Running: 2, Waiting: 1}) {
		t.Errorf("an earlier build reads %+v, %v", earlier.Load, err)
	}
}

// TestSlownessIsSentBesideProgress guards against a figure that is lost on its way to the owner.
func TestSlownessIsSentBesideProgress(t *testing.T) {
	sent := progressMessage{Number: 7, Service: "s", Load: &planner.Load{Running: 2, Slowdown: 2.5}}
	body, err := cbor.Marshal(newSlowdownProgress(&sent))
	if err != nil {
		t.Fatal(err)
	}
	var read slowdownProgressMessage
	if err := cbor.Unmarshal(body, &read); err != nil {
		t.Fatal(err)
	}
	if got := read.progress(); got.Number != 7 || got.Load.Running != 2 || got.Load.Slowdown != 2.5 {
		t.Errorf("got %+v with load %+v", got, got.Load)
	}
}
