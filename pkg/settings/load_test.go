package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/settings"
)

// complete is a valid document with nothing but what is required, for an entry.
const complete = `{"process":"p","failure_domain":"a","operators":{"listen":"127.0.0.1:1"},
"platform":{"table":"http://127.0.0.1:2"},"entry":{"listen":"127.0.0.1:3"}}`

// TestParse checks that the error names every fault of a document at once, not only the first.
func TestParse(t *testing.T) {
	scenarios := []struct {
		name     string
		document string
		// faults must all be named in the error; none means that the document is valid.
		faults []string
	}{
		{name: "complete", document: complete},
		{name: "unknown field", document: `{"nonesuch":"p"}`, faults: []string{`unknown field "nonesuch"`}},
		{name: "unknown field of an entry", document: `{"entry":{"listn":"x"}}`, faults: []string{`unknown field "listn"`}},
		{name: "data after the document", document: complete + "{}", faults: []string{"unexpected data after the document"}},
		{name: "empty", document: `{}`, faults: []string{
			"process: is required", "failure_domain: is required", "operators.listen:", "platform.table:", "entry: a process needs",
		}},
		{name: "every fault at once", document: `{"process":"p","failure_domain":"a","log":{"level":"loud"},
			"trace":{"exporter":"pigeon","ratio":2},"operators":{"listen":"localhost:1"},"platform":{"table":"ftp://x"},
			"entry":{"listen":"127.0.0.1:3","limits":{"body_bytes":0}},
			"agents":[{"target":"","control":"x","data":"127.0.0.1:5","floor_hold_ms":1}]}`,
			faults: []string{
				"log.level:", "trace.exporter:", "trace.ratio:", "operators.listen:", "platform.table:", "entry.limits.body_bytes:",
				"agents[0].target:", "agents[0].control:", "agents[0].floor_hold_ms:",
			}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(s.document))
			if len(s.faults) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.Is(err, jujuerrors.NotValid) {
				t.Fatalf("error %v is not of kind NotValid", err)
			}
			for _, f := range s.faults {
				if !strings.Contains(err.Error(), f) {
					t.Errorf("fault %q is missing from error: %v", f, err)
				}
			}
		})
	}
}

// TestDefaults checks that defaults also apply to objects that the file sets only in part.
func TestDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	if s.Entry.TicketsPerRequest != settings.DefaultEntry().TicketsPerRequest {
		t.Errorf("TicketsPerRequest = %d, want the default", s.Entry.TicketsPerRequest)
	}
}

// FuzzParse checks that Parse accepts only settings that pass Check, and that its errors are all of kind NotValid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(complete))
	example, err := os.ReadFile("../../examples/local/settings.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Fuzz(func(t *testing.T, document []byte) {
		s, err := settings.Parse(document)
		if err == nil && s.Check() != nil {
			t.Error("Parse accepted settings that Check rejects")
		}
		if err != nil && !errors.Is(err, jujuerrors.NotValid) {
			t.Errorf("error %v is not of kind NotValid", err)
		}
	})
}
