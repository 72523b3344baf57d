package config

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// schemaTitle is the title of the JSON Schema.
const schemaTitle = "pollenlead document"

// Schema returns the JSON Schema of the document, generated from the types and their jsonschema tags. It covers the
// structure of the document; only Parse checks references, uniqueness, overlaps and the spare pool.
func Schema() []byte {
	r := jsonschema.Reflector{Anonymous: true, FieldNameTag: "yaml", RequiredFromJSONSchemaTags: true}
	s := r.Reflect(&Document{})
	s.Title = schemaTitle
	setDefaults(s.Definitions["Limits"], reflect.ValueOf(DefaultLimits()))
	setDefaults(s.Definitions["Maintenance"], reflect.ValueOf(DefaultMaintenance()))
	schema, _ := s.Definitions["Document"].Properties.Get("schema")
	schema.Const = DocumentSchema
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic("config: schema of the document types: " + err.Error())
	}
	return append(bytes.TrimSpace(text), '\n')
}

// setDefaults sets the default values of the integer properties.
func setDefaults(definition *jsonschema.Schema, defaults reflect.Value) {
	for i := range defaults.NumField() {
		if !defaults.Field(i).CanInt() {
			continue
		}
		name := defaults.Type().Field(i).Tag.Get("yaml")
		property, _ := definition.Properties.Get(name)
		property.Default = defaults.Field(i).Int()
	}
}
