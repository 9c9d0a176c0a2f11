package losses_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"quaydock/pkg/losses"
	"quaydock/pkg/requestlog"
)

// logs are the lines of two processes, of which only a logged its failure domain. r3 was late and r4 in time; one line
// tells of suppressed lines, one is no JSON, and one does not concern requests.
const logs = `  0.0 a {"msg":"started","process":"a","domain":"north","time":"2026-05-10T10:00:00.000Z"}
  2.1 a {"msg":"request not answered","process":"a","request":"r1","cause":"Overloaded","tier":1,"account":"acme","prompt_tokens":100,"held_ms":100,"time":"2026-05-10T10:00:02.100Z"}
  2.2 a {"msg":"request not answered","process":"a","request":"r2","cause":"Overloaded","tier":2,"account":"acme","prompt_tokens":50,"before_ms":900,"held_ms":4,"time":"2026-05-10T10:00:02.200Z"}
  5.0 b {"msg":"request answered","process":"b","request":"r3","late":true,"late_by":"Pause","tier":0,"account":"zeta","prompt_tokens":7,"held_ms":1500,"time":"2026-05-10T10:00:05.000Z"}
  5.1 b {"msg":"request answered","process":"b","request":"r4","late":false,"tier":0,"account":"zeta","held_ms":15,"time":"2026-05-10T10:00:05.100Z"}
  6.0 b {"msg":"log lines left out in a second, by kind","process":"b","Overloaded":12,"answered":70,"answered_late":3,"time":"2026-05-10T10:00:06.000Z"}
no line at all
  6.5 b {"msg":"configuration in force","process":"b","revision":3,"time":"2026-05-10T10:00:06.500Z"}
`

// find returns the losses in logs.
func find(t *testing.T) []losses.Loss {
	t.Helper()
	lines, err := requestlog.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	return losses.Find(lines)
}

// at returns the time ms milliseconds after that of the first line.
func at(ms int) time.Time {
	return time.Date(2026, 5, 10, 10, 0, 0, ms*int(time.Millisecond), time.UTC)
}

// TestFindLosses: a loss counts at the request's arrival, held_ms before its line; suppressed lines count by their
// number, and what a line does not have is "?".
func TestFindLosses(t *testing.T) {
	want := []losses.Loss{
		{At: at(2000), Cause: "Overloaded", Tier: "1", Account: "acme", Entry: "a", Domain: "north", PromptTokens: 100, Count: 1},
		{At: at(2196), Cause: "Overloaded", Tier: "2", Account: "acme", Entry: "a", Domain: "north", PromptTokens: 50, RefusedBefore: true, Count: 1},
		{At: at(3500), Cause: "late: Pause", Tier: "0", Account: "zeta", Entry: "b", Domain: "?", PromptTokens: 7, Count: 1},
		{At: at(6000), Cause: "Overloaded", Tier: "?", Account: "?", Entry: "b", Domain: "?", Count: 12},
		{At: at(6000), Cause: "late: not told", Tier: "?", Account: "?", Entry: "b", Domain: "?", Count: 3},
	}
	if got := find(t); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestLossesByWindow counts the losses in windows of 2 s. Windows without losses have a row; 4 s in windows of a
// microsecond are above the limit.
func TestLossesByWindow(t *testing.T) {
	table, err := losses.Tabulate(find(t), 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	want := &losses.Table{
		Start: at(2000), Window: 2 * time.Second, Causes: []string{"Overloaded", "late: not told", "late: Pause"},
		Counts: [][]int{{2, 0, 1}, {0, 0, 0}, {12, 3, 0}},
	}
	if !reflect.DeepEqual(table, want) {
		t.Errorf("got  %+v\nwant %+v", table, want)
	}
	if _, err := losses.Tabulate(find(t), time.Microsecond); err == nil {
		t.Error("no error for more windows than the limit")
	}
	if empty, err := losses.Tabulate(nil, time.Second); err != nil || len(empty.Counts) != 0 {
		t.Errorf("table of no losses: got %+v, error %v", empty, err)
	}
}

// TestPlotNamesCausesAndTimes checks that the plot is written with its legend and time labels, and that an extension
// without a format is an error.
func TestPlotNamesCausesAndTimes(t *testing.T) {
	table, err := losses.Tabulate(find(t), 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "losses.svg")
	if err := losses.Plot(table, path); err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range append(table.Causes, "10:00:02") {
		if !strings.Contains(string(drawn), text) {
			t.Errorf("plot lacks %q", text)
		}
	}
	if err := losses.Plot(table, filepath.Join(t.TempDir(), "losses.doc")); err == nil {
		t.Error("no error for an unknown file extension")
	}
}

func ExampleWrite() {
	lines, err := requestlog.Read(strings.NewReader(`{"msg":"request not answered","process":"a","cause":"Lost","tier":1,"account":"acme","prompt_tokens":100,"held_ms":100,"time":"2026-05-10T10:00:02.100Z"}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	list := losses.Find(lines)
	table, err := losses.Tabulate(list, time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := losses.Write(os.Stdout, list, table); err != nil {
		fmt.Println(err)
	}
	// Output:
	// cause  requests  came back  prompt tokens
	// Lost   1         0          100
	//
	// tier  requests  came back  prompt tokens
	// 1     1         0          100
	//
	// account  requests  came back  prompt tokens
	// acme     1         0          100
	//
	// entry  requests  came back  prompt tokens
	// a      1         0          100
	//
	// failure domain  requests  came back  prompt tokens
	// ?               1         0          100
	//
	// from      Lost
	// 10:00:02  1
}
