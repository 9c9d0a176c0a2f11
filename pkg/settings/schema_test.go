package settings_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"quaydock/pkg/settings"
)

var update = flag.Bool("update", false, "regenerate the schema file")

const (
	schemaFile = "../../examples/settings.schema.json"
	pageFile   = "../../docs/operating/SETTINGS.md"
)

// TestSchemaIsCurrent checks that the committed schema is that of the Settings struct.
func TestSchemaIsCurrent(t *testing.T) {
	want, err := settings.Schema()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(schemaFile, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("the schema file is outdated; run go test ./pkg/settings -run Schema -update")
	}
}

// TestPageNamesEverySetting checks that each setting of the schema is documented.
func TestPageNamesEverySetting(t *testing.T) {
	schema, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(schema)) {
		name, isProperty := strings.CutSuffix(strings.TrimSpace(line), `": {`)
		name = strings.TrimPrefix(name, `"`)
		if !isProperty || strings.ToLower(name) != name || strings.HasPrefix(name, "$") || name == "properties" || name == "items" {
			continue
		}
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("setting %s is missing from the settings page", name)
		}
	}
}
