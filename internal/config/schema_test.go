package config_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/config"
)

var update = flag.Bool("update", false, "write docs/document.schema.json")

const schemaFile = "../../docs/document.schema.json"

// TestSchemaFile guards against a committed schema that differs from the types. After a change of the types, run it
// with -update to write the schema.
func TestSchemaFile(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(schemaFile, config.Schema(), 0o644))
	}
	committed, err := os.ReadFile(schemaFile)
	is.NoErr(err)
	is.True(bytes.Equal(committed, config.Schema()))
}
