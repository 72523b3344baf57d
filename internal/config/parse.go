package config

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"
)

// Parse reads and validates a document. It returns every problem that it finds; the document is nil if there is any.
func Parse(text []byte) (*Document, []Problem) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, []Problem{{Message: fmt.Sprintf("parse document: %v", err)}}
	}
	return &d, nil
}
