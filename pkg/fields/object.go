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
	"net/netip"
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
	errAddress    = errors.New("no IP and port")
)

// usualFields is the capacity that an object begins with: the rows that are read most have
// no more fields.
const usualFields = 16

// Parse reads an object's fields.
func Parse(document []byte) (*Object, error) {
	switch {
	case len(document) == 0:
		return nil, errEmpty
	case !utf8.Valid(document):
		return nil, errEncoding
	case !json.Valid(document):
		return nil, errNoJSON
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return nil, errNoObject
	}
	o := &Object{values: make(map[string]json.RawMessage, usualFields)}
	for decoder.More() {
		if err := o.take(decoder); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// take reads the next field.
func (o *Object) take(from *json.Decoder) error {
	name, err := from.Token()
	if err != nil {
		return fmt.Errorf("a field's name: %w", err)
	}
	var value json.RawMessage
	if err := from.Decode(&value); err != nil {
		return fmt.Errorf("a field's value: %w", err)
	}
	key, _ := name.(string) // the token before a value of an object is its name
	if o.Has(key) {
		return errTwice
	}
	o.values[key] = value
	return nil
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
	var text *string // nil for null
	if err := json.Unmarshal(value, &text); err != nil || text == nil {
		o.Fail(name, errType)
		return ""
	}
	if err := CheckText(*text, most); err != nil {
		o.Fail(name, err)
		return ""
	}
	return *text
}

// mostAddress is longer than any IP and port.
const mostAddress = 64

// Address returns the IP and port of one process: neither a group of processes, nor one that means something on one
// VM alone.
func (o *Object) Address(name string) netip.AddrPort {
	text := o.Text(name, mostAddress)
	if text == "" {
		return netip.AddrPort{} // told already
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		o.Fail(name, errAddress)
	}
	return a
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
func (o *Object) Integer(name string, least, most int64) int64 {
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
