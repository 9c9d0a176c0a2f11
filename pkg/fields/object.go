// Package fields reads JSON objects that another program may have written. It is stricter than
// encoding/json: field names match exactly, a duplicate field is an error, so is null where a value is
// needed, and numbers and texts have limits. Errors name the field and don't quote the object.
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

// Object is a JSON object. Its methods return zero for an invalid field, and Err then returns the error
// of the first such field.
type Object struct {
	values map[string]json.RawMessage // by field name, undecoded
	err    error                      // of the first invalid field
}

// Errors of objects and fields.
var (
	errEmpty      = errors.New("empty value, or not base64") // a row's value that isn't base64 is read as empty
	errEncoding   = errors.New("not UTF-8")
	errNotObject  = errors.New("not a JSON object")
	errNotJSON    = errors.New("not JSON")
	errDuplicate  = errors.New("duplicate field")
	errMissing    = errors.New("missing")
	errType       = errors.New("wrong type")
	errOutOfRange = errors.New("out of range")
	errAddress    = errors.New("not an IP address and port")
)

// typicalFields is the initial capacity of an object: the rows that are read most often have no more
// fields.
const typicalFields = 16

// Parse reads the fields of a JSON object, and decodes none of them. It returns an error if the document is not one
// object in UTF-8, or if two of its fields have the same name.
func Parse(document []byte) (*Object, error) {
	switch {
	case len(document) == 0:
		return nil, errEmpty
	case !utf8.Valid(document):
		return nil, errEncoding
	case !json.Valid(document):
		return nil, errNotJSON
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return nil, errNotObject
	}
	o := &Object{values: make(map[string]json.RawMessage, typicalFields)}
	for decoder.More() {
		if err := o.parseField(decoder); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// parseField reads the next field.
func (o *Object) parseField(from *json.Decoder) error {
	name, err := from.Token()
	if err != nil {
		return fmt.Errorf("reading a field name: %w", err)
	}
	var value json.RawMessage
	if err := from.Decode(&value); err != nil {
		return fmt.Errorf("reading a field value: %w", err)
	}
	key, _ := name.(string) // the token before a value of an object is its name
	if o.Has(key) {
		return errDuplicate
	}
	o.values[key] = value
	return nil
}

// Has reports whether the object has a field.
func (o *Object) Has(name string) bool {
	_, has := o.values[name]
	return has
}

// Err returns the error of the first invalid field that was read, or nil.
func (o *Object) Err() error { return o.err }

// Fail records that a field is invalid, for a reason that the caller gives. The first one is kept.
func (o *Object) Fail(name string, err error) {
	if o.err == nil {
		o.err = fmt.Errorf("field %s: %w", name, err)
	}
}

// raw returns a field's undecoded value, or records that it is missing and returns false.
func (o *Object) raw(name string) (json.RawMessage, bool) {
	value, has := o.values[name]
	if !has {
		o.Fail(name, errMissing)
	}
	return value, has
}

// Into decodes a field into a value, as encoding/json does. Missing fields and null are invalid, and leave the value as
// it is.
func (o *Object) Into(name string, into any) {
	value, has := o.raw(name)
	if has && (string(value) == "null" || json.Unmarshal(value, into) != nil) {
		o.Fail(name, errType)
	}
}

// Text returns a string of 1 to maxBytes bytes without control characters.
func (o *Object) Text(name string, maxBytes int) string {
	value, has := o.raw(name)
	if !has {
		return ""
	}
	var text *string // nil for null
	if err := json.Unmarshal(value, &text); err != nil || text == nil {
		o.Fail(name, errType)
		return ""
	}
	if err := CheckText(*text, maxBytes); err != nil {
		o.Fail(name, err)
		return ""
	}
	return *text
}

// maxAddressLength is longer than any IP and port, in bytes.
const maxAddressLength = 64

// Address returns the IP and port of one process: neither a multicast address, nor one that is valid on one
// VM only (unspecified, or with an IPv6 scope). An address that is refused for that is returned all the same.
func (o *Object) Address(name string) netip.AddrPort {
	text := o.Text(name, maxAddressLength)
	if text == "" {
		return netip.AddrPort{} // already recorded
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		o.Fail(name, errAddress)
	}
	return a
}

// CheckText returns an error if a text is empty, longer than maxBytes bytes, or has control characters,
// which neither headers nor log lines can hold.
func CheckText(text string, maxBytes int) error {
	if text == "" || len(text) > maxBytes {
		return errOutOfRange
	}
	for _, c := range text {
		if unicode.IsControl(c) {
			return errOutOfRange
		}
	}
	return nil
}

// Integer returns an integer from lowest to highest.
func (o *Object) Integer(name string, lowest, highest int64) int64 {
	value, has := o.raw(name)
	if !has {
		return 0
	}
	number, err := strconv.ParseInt(string(value), 10, 64)
	return within(o, name, number, err, lowest, highest)
}

// Number returns a number from lowest to highest.
func (o *Object) Number(name string, lowest, highest float64) float64 {
	value, has := o.raw(name)
	if !has {
		return 0
	}
	number, err := strconv.ParseFloat(string(value), 64)
	return within(o, name, number, err, lowest, highest)
}

// within returns a field's number, or 0 after recording that it could not be parsed or is out of range.
func within[T int64 | float64](o *Object, name string, number T, parsing error, lowest, highest T) T {
	if parsing != nil {
		o.Fail(name, errType)
		return 0
	}
	if number < lowest || number > highest {
		o.Fail(name, errOutOfRange)
		return 0
	}
	return number
}
