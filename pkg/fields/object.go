// Package fields reads JSON objects that another program may have written. It is stricter than
// encoding/json: names of fields match exactly, a field that is there twice is an error, so is
// null where a value is needed, and numbers and texts have bounds. Errors name the field and
// don't quote the object.
package fields

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode"
	"unicode/utf8"
)

// Object is a JSON object. Its methods return zero for a field that is wrong, and Err then
// tells of the first such field.
type Object struct {
	values map[string]json.RawMessage
	err    error
}

// Errors of objects.
var (
	errEmpty      = errors.New("nothing that can be read: empty, or not base64")
	errEncoding   = errors.New("not UTF-8")
	errNoObject   = errors.New("not a JSON object")
	errNoJSON     = errors.New("not JSON")
	errTwice      = errors.New("a field stands there twice")
	errMissing    = errors.New("missing")
	errType       = errors.New("of another type")
	errOutOfRange = errors.New("out of range")
)

// usualFields is the capacity that an object begins with: the rows that are read most have
// no more fields.
const usualFields = 16

// Parse reads an object's fields. encoding/json only checks that the document is valid; the
// fields are then found here: with a json.Decoder a target's row took 13.5 µs instead of 3.2 (BenchmarkParseTarget in platform,
// best of 6), and all entries read all rows when they start.
func Parse(document []byte) (*Object, error) {
	switch {
	case len(document) == 0:
		return nil, errEmpty
	case !utf8.Valid(document):
		return nil, errEncoding
	case !json.Valid(document):
		return nil, errNoJSON
	}
	rest := skipSpace(document)
	if rest[0] != '{' {
		return nil, errNoObject
	}
	o := &Object{values: make(map[string]json.RawMessage, usualFields)}
	for rest = skipSpace(rest[1:]); rest[0] != '}'; rest = skipComma(rest) {
		var err error
		if rest, err = o.take(rest); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// take reads the field at the beginning of rest, which is a part of valid JSON, and returns
// what follows it.
func (o *Object) take(rest []byte) ([]byte, error) {
	end := stringEnd(rest)
	name, err := unquote(rest[:end])
	if err != nil {
		return nil, errNoJSON
	}
	rest = skipSpace(rest[end:])
	rest = skipSpace(rest[1:]) // the colon
	end = valueEnd(rest)
	if _, twice := o.values[name]; twice {
		return nil, errTwice
	}
	o.values[name] = rest[:end]
	return skipSpace(rest[end:]), nil
}

func skipSpace(text []byte) []byte { return bytes.TrimLeft(text, " \t\r\n") }

func skipComma(text []byte) []byte { return skipSpace(bytes.TrimPrefix(text, []byte(","))) }

// stringEnd returns where the string ends that text begins with; text is a part of valid JSON.
func stringEnd(text []byte) int {
	for i := 1; ; i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
}

// valueEnd returns where the field's value ends that text begins with; text is a part of valid
// JSON.
func valueEnd(text []byte) int {
	depth := 0
	for i := 0; ; {
		switch text[i] {
		case '"':
			i += stringEnd(text[i:])
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
		i++
	}
}

// unquote reads a string of valid JSON.
func unquote(text []byte) (string, error) {
	if bytes.IndexByte(text, '\\') < 0 {
		return string(text[1 : len(text)-1]), nil
	}
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return "", fmt.Errorf("reading a string: %w", err)
	}
	return s, nil
}

// Has reports whether a field is there.
func (o *Object) Has(name string) bool {
	_, has := o.values[name]
	return has
}

// Err tells what is wrong with the first wrong field that was read.
func (o *Object) Err() error { return o.err }

// Fail notes that a field is wrong for a reason of the caller's.
func (o *Object) Fail(name string, err error) {
	if o.err == nil {
		o.err = fmt.Errorf("field %s: %w", name, err)
	}
}

// raw returns a field's value, or notes that it is missing.
func (o *Object) raw(name string) (json.RawMessage, bool) {
	value, has := o.values[name]
	if !has {
		o.Fail(name, errMissing)
	}
	return value, has
}

// Into decodes a field into a value, as encoding/json does.
func (o *Object) Into(name string, into any) {
	value, has := o.raw(name)
	if has && (string(value) == "null" || json.Unmarshal(value, into) != nil) {
		o.Fail(name, errType)
	}
}

// Text returns a text that is not empty, of so many bytes at the most, without control
// characters.
func (o *Object) Text(name string, most int) string {
	value, has := o.raw(name)
	if !has {
		return ""
	}
	text, err := "", errType
	if value[0] == '"' {
		text, err = unquote(value)
	}
	if err != nil {
		o.Fail(name, errType)
		return ""
	}
	if err := CheckText(text, most); err != nil {
		o.Fail(name, err)
		return ""
	}
	return text
}

// CheckText reports what is wrong with a name: it is empty, longer than so many bytes, or
// has control characters, which no header or log line takes.
func CheckText(text string, most int) error {
	if text == "" || len(text) > most {
		return errOutOfRange
	}
	for _, c := range text {
		if unicode.IsControl(c) {
			return errOutOfRange
		}
	}
	return nil
}

// Whole returns a whole number within bounds.
func (o *Object) Whole(name string, least, most int64) int64 {
	value, has := o.raw(name)
	if !has {
		return 0
	}
	number, err := strconv.ParseInt(string(value), 10, 64)
	return within(o, name, number, err, least, most)
}

// Number returns a number within bounds.
func (o *Object) Number(name string, least, most float64) float64 {
	value, has := o.raw(name)
	if !has {
		return 0
	}
	number, err := strconv.ParseFloat(string(value), 64)
	return within(o, name, number, err, least, most)
}

// within returns a field's number, or 0 after noting that it could not be parsed or is out of
// its bounds.
func within[T int64 | float64](o *Object, name string, number T, parsing error, least, most T) T {
	if parsing != nil {
		o.Fail(name, errType)
		return 0
	}
	if number < least || number > most {
		o.Fail(name, errOutOfRange)
		return 0
	}
	return number
}
