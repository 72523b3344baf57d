package config

import (
	"pollenlead/internal/yamldoc"
)

// Parse reads and validates a document. It returns every problem that it finds, by position; the document is nil if there
// is any. The result depends on text alone. Messages never repeat the text of a key's fields.
func Parse(text []byte) (*Document, []Problem) {
	d := &Document{Limits: DefaultLimits(), Maintenance: DefaultMaintenance()}
	c := yamldoc.Decode(text, MaxBytes, d)
	if d.Schema > DocumentSchema {
		return nil, []Problem{newerSchema(c, d.Schema)}
	}
	if c.Readable() {
		v := validator{Checker: c, doc: d}
		v.run()
	}
	if problems := c.Problems(); len(problems) > 0 {
		return nil, problems
	}
	d.buildKeyIndex()
	return d, nil
}

// newerSchema is the only problem reported for a document of a newer schema: its unknown fields are not errors of the author.
func newerSchema(c *yamldoc.Checker, schema int) Problem {
	only := c.Fresh()
	only.Reportf("schema", "is %d; this version understands schema %d only", schema, DocumentSchema)
	return only.Problems()[0]
}
