package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

// UnmarshalJSON fills what the document leaves out with defaults.
func (e *Entry) UnmarshalJSON(document []byte) error {
	type plain Entry
	filled := plain(DefaultEntry())
	if err := decodeStrict(document, &filled); err != nil {
		return err
	}
	*e = Entry(filled)
	return nil
}

// UnmarshalJSON fills what the document leaves out with defaults.
func (a *Agent) UnmarshalJSON(document []byte) error {
	type plain Agent
	filled := plain(DefaultAgent())
	if err := decodeStrict(document, &filled); err != nil {
		return err
	}
	*a = Agent(filled)
	return nil
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	s, err := Parse(document)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks a settings document. Unknown fields are refused. The
// error is of kind errors.NotValid and names every fault.
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

// decodeStrict reads one JSON value without unknown fields or trailing text.
func decodeStrict(document []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("reading JSON: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("reading JSON: %w", errors.NotValidf("text behind the document"))
	}
	return nil
}
