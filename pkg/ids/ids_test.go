package ids_test

import (
	"errors"
	"fmt"
	"testing"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/ids"
)

func ExampleGrant_String() {
	fmt.Println(ids.Grant{Agent: 0xab, Sequence: 16})
	// Output: ab-10
}

// TestParseGrant: a text that is not a grant gives an error of kind NotValid and the zero grant.
func TestParseGrant(t *testing.T) {
	scenarios := []struct {
		name  string
		text  string
		want  ids.Grant // zero if the text is not valid
		valid bool
	}{
		{name: "valid", text: "ab-10", want: ids.Grant{Agent: 0xab, Sequence: 16}, valid: true},
		{name: "no dash", text: "ab10"},
		{name: "bad incarnation", text: "xy-10"},
		{name: "bad sequence", text: "ab-"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, err := ids.ParseGrant(s.text)
			if s.valid != (err == nil) {
				t.Fatalf("ParseGrant(%q) error = %v", s.text, err)
			}
			if err != nil && !errors.Is(err, jujuerrors.NotValid) {
				t.Errorf("error kind of %v is not NotValid", err)
			}
			if got != s.want {
				t.Errorf("ParseGrant(%q) = %v, want %v", s.text, got, s.want)
			}
		})
	}
}
