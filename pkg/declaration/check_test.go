package declaration_test

import (
	"os"
	"strings"
	"testing"

	"quaydock/pkg/declaration"
)

// TestParse makes one fault at a time in the example declarations. The error must name its path, for operators to
// find it.
func TestParse(t *testing.T) {
	example, err := os.ReadFile("../../examples/local/declarations.json")
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		name   string
		change func(string) string // of the example declarations
		fault  string              // what the error must contain; empty if the changed declarations are valid
	}{
		{"example declarations", func(s string) string { return s }, ""},
		{"unknown tier of an account", replace(`"default_tier": "summary"`, `"default_tier": "none"`), `accounts[0].default_tier: unknown tier "none"`},
		{"default tier above highest tier", replace(`"highest_tier": "pilot"`, `"highest_tier": "tag"`), "accounts[0].default_tier: is above highest_tier"},
		{"key in place of its hash", replace(`"key_hashes": ["`, `"key_hashes": ["local-key", "`), "accounts[0].key_hashes[0]: is not a SHA-256 sum"},
		{"target declared twice", replace(`"name": "engine-slow"`, `"name": "engine-fast"`), `targets[1].name: "engine-fast" is declared twice`},
		{"placement on an unknown target", replace(`"target": "depths-1"`, `"target": "none"`), `placements[2].target: unknown target "none"`},
		{"unknown field", replace(`"slots"`, `"slot"`), `unknown field "slot"`},
		{"host name in place of an IP address", replace(`"agent_control": "127.0.0.1:7411"`, `"agent_control": "host:7411"`), `targets[0].agent_control: "host:7411"`},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := declaration.Parse([]byte(s.change(string(example))))
			switch {
			case s.fault == "" && err != nil:
				t.Error(err)
			case s.fault != "" && (err == nil || !strings.Contains(err.Error(), s.fault)):
				t.Errorf("fault %q is missing from error: %v", s.fault, err)
			}
		})
	}
}

// replace returns a change of the first occurrence of from.
func replace(from, to string) func(string) string {
	return func(s string) string { return strings.Replace(s, from, to, 1) }
}
