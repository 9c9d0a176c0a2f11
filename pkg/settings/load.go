package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

// UnmarshalJSON rejects unknown fields; fields that the document lacks get their defaults.
func (e *Entry) UnmarshalJSON(document []byte) error {
	type plain Entry
	filled := plain(DefaultEntry())
	if err := decodeStrict(document, &filled); err != nil {
		return err
	}
	*e = Entry(filled)
	return nil
}

// UnmarshalJSON rejects unknown fields; fields that the document lacks get their defaults.
func (a *Agent) UnmarshalJSON(document []byte) error {
	type plain Agent
	filled := plain(DefaultAgent())
	if err := decodeStrict(document, &filled); err != nil {
		return err
	}
	*a = Agent(filled)
	return nil
}

// Load reads, decodes and checks the settings file at path.
func Load(path string) (Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	s, err := Parse(document)
	if err != nil {
		return Settings{}, fmt.Errorf("loading settings from %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks a settings document. Unknown fields are rejected. The
// error is of kind errors.NotValid. It names the first fault of the JSON, or every
// fault of the settings.
func Parse(document []byte) (Settings, error) {
	s := Default()
	if err := decodeStrict(document, &s); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", errors.NotValid, err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// decodeStrict decodes one JSON value. It rejects unknown fields and data after the value.
func decodeStrict(document []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decoding JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("decoding JSON: %w", errors.NotValidf("unexpected data after the document"))
	}
	return nil
}
