package story_test

import (
	"fmt"
	"strings"
	"testing"

	"quaydock/pkg/story"
)

const logs = `  1.0 front-a {"msg":"configuration in force","process":"front-a","revision":7,"time":"2026-05-10T10:00:00Z"}
not a line
  2.0 front-b {"msg":"target gone","process":"front-b","target":"t1","time":"2026-05-10T10:00:03Z"}
  2.0 front-b {"msg":"target gone","process":"front-b","target":"t9","time":"2026-05-10T10:00:03Z"}
  2.1 front-a {"msg":"request not answered","process":"front-a","request":"r2","time":"2026-05-10T10:00:02Z"}
  3.0 front-a {"msg":"request not answered","cause":"Lost","process":"front-a","request":"r1","targets":["t1"],"time":"2026-05-10T10:00:02Z"}
  9.0 front-a {"msg":"configuration in force","process":"front-a","revision":8,"time":"2026-05-10T10:01:00Z"}
`

func TestTheStoryOfARequest(t *testing.T) {
	lines, err := story.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range story.Of("r1", lines) {
		got = append(got, fmt.Sprint(l.Fields["msg"], " ", l.Fields["process"]))
	}
	want := "configuration in force front-a, request not answered front-a, target gone front-b"
	if strings.Join(got, ", ") != want {
		t.Errorf("got %q", strings.Join(got, ", "))
	}
	if len(story.Of("r3", lines)) != 0 {
		t.Error("a story of an unknown request")
	}
}

func ExampleLine_String() {
	lines, err := story.Read(strings.NewReader(`{"msg":"request not answered","cause":"Lost","process":"front-a","request":"r1","time":"2026-05-10T10:00:02Z"}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(lines[0])
	// Output:
	// 10:00:02 front-a: request not answered
	//     cause              Lost
	//     request            r1
}
