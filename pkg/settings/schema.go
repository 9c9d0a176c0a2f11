package settings

import (
	"encoding/json"
	"fmt"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON schema of the settings.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{RequiredFromJSONSchemaTags: true}
	document, err := json.MarshalIndent(reflector.Reflect(&Settings{}), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encoding the settings schema: %w", err)
	}
	return append(document, '\n'), nil
}
