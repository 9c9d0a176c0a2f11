package fields_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"quaydock/pkg/fields"
)

func ExampleObject() {
	o, err := fields.Parse([]byte(`{"name":"s","places":12,"Places":-1}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(o.Text("name", 100), o.Integer("places", 1, 100), o.Err())
	o.Integer("weight", 0, 1)
	fmt.Println(o.Err())
	// Output:
	// s 12 <nil>
	// field weight: missing
}

// TestParse guards against documents, some of them accepted by encoding/json, that are not one object with each field
// once.
func TestParse(t *testing.T) {
	scenarios := []struct{ name, document, want string }{ // want is part of the error, empty if there is none
		{"empty document", "", "empty"},
		{"truncated JSON", "{", "not JSON"},
		{"an array", "[1]", "not a JSON object"},
		{"a string", `"{}"`, "not a JSON object"},
		{"invalid UTF-8", "{\"a\":\"\xff\"}", "UTF-8"},
		{"two documents", "{}{}", "not JSON"},
		{"a duplicate field", `{"a":1,"b":2,"a":3}`, "duplicate field"},
		{"a duplicate field, once escaped", `{"a":1,"\u0061":3}`, "duplicate field"},
		{"an empty object", " { } ", ""},
		{"braces and quotes in strings", `{"a":"}\"{,","b":{"c":["]"]} , "d":"\\"}`, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := fields.Parse([]byte(s.document))
			if s.want == "" && err != nil || s.want != "" && (err == nil || !strings.Contains(err.Error(), s.want)) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestFields guards against values that are out of range, of another type or missing and are taken for valid ones.
func TestFields(t *testing.T) {
	const document = `{"text":"s\u00e4\"","long":"sssssssss","line":"a\nb","empty":"","whole":7,"half":7.5,"power":1e2,"huge":99999999999999999999,"null":null,"list":[1],"number":-0.5}`
	scenarios := []struct {
		name string
		read func(o *fields.Object) any
		want any
		err  string // part of the error, empty if there is none
	}{
		{"a text", func(o *fields.Object) any { return o.Text("text", 5) }, `sä"`, ""},
		{"a text that is too long", func(o *fields.Object) any { return o.Text("long", 8) }, "", "long: out of range"},
		{"a text with a line break", func(o *fields.Object) any { return o.Text("line", 8) }, "", "line: out of range"},
		{"an empty text", func(o *fields.Object) any { return o.Text("empty", 8) }, "", "empty: out of range"},
		{"a number for a text", func(o *fields.Object) any { return o.Text("whole", 8) }, "", "whole: wrong type"},
		{"a whole number", func(o *fields.Object) any { return o.Integer("whole", 7, 7) }, int64(7), ""},
		{"one that is too small", func(o *fields.Object) any { return o.Integer("whole", 8, 9) }, int64(0), "whole: out of range"},
		{"one with a fraction", func(o *fields.Object) any { return o.Integer("half", 0, 9) }, int64(0), "half: wrong type"},
		{"one with an exponent", func(o *fields.Object) any { return o.Integer("power", 0, 900) }, int64(0), "power: wrong type"},
		{"one beyond 64 bits", func(o *fields.Object) any { return o.Integer("huge", 0, 9) }, int64(0), "huge: wrong type"},
		{"null for one", func(o *fields.Object) any { return o.Integer("null", 0, 9) }, int64(0), "null: wrong type"},
		{"a text for one", func(o *fields.Object) any { return o.Integer("text", 0, 9) }, int64(0), "text: wrong type"},
		{"a number", func(o *fields.Object) any { return o.Number("number", -1, 1) }, -0.5, ""},
		{"one out of range", func(o *fields.Object) any { return o.Number("number", 0, 1) }, 0.0, "number: out of range"},
		{"a list for one", func(o *fields.Object) any { return o.Number("list", 0, 1) }, 0.0, "list: wrong type"},
		{"a missing field", func(o *fields.Object) any { return o.Number("none", 0, 1) }, 0.0, "none: missing"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			o, err := fields.Parse([]byte(document))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.read(o); got != s.want {
				t.Errorf("%v, want %v", got, s.want)
			}
			if got := fmt.Sprint(o.Err()); s.err == "" && o.Err() != nil || !strings.Contains(got, s.err) {
				t.Errorf("error %v, want %q", got, s.err)
			}
		})
	}
}

// FuzzParse compares the fields that Parse finds with those that encoding/json finds.
func FuzzParse(f *testing.F) {
	for _, document := range []string{`{}`, `{"a":"}\"{,","b":{"c":["]"]} , "d":"\\"}`, `{"a":1,"\u0061":3}`, `[]`, `{"a":`, "{\"\\\\\":\t1 }"} {
		f.Add([]byte(document))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		o, err := fields.Parse(document)
		if err != nil {
			return
		}
		var known map[string]json.RawMessage
		if err := json.Unmarshal(document, &known); err != nil {
			t.Fatalf("%q is no object: %v", document, err)
		}
		for name, value := range known {
			var got json.RawMessage
			if string(value) == "null" {
				continue // fields rejects null, encoding/json accepts it
			}
			if o.Into(name, &got); o.Err() != nil || string(got) != string(value) {
				t.Errorf("field %q of %q is %q, want %q; %v", name, document, got, value, o.Err())
			}
		}
	})
}
