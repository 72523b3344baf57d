package config

import (
	"pollenlead/internal/yamldoc"
)

// Parse parses and validates a document. It returns all problems, ordered by position; the document is nil if there are
// any. The result depends only on text, so that all entry instances get the same one. Messages never repeat an invalid
// ID or hash of a key, because it may be a secret that was entered by mistake.
func Parse(text []byte) (*Document, []Problem) {
	d := &Document{Limits: DefaultLimits(), Maintenance: DefaultMaintenance()}
	c := yamldoc.Decode(text, MaxBytes, d)
	if d.Schema > DocumentSchema {
		return nil, []Problem{newerSchemaProblem(c, d.Schema)}
	}
	if c.IsMapping() {
		v := validator{Checker: c, doc: d}
		v.validate()
	}
	if problems := c.Problems(); len(problems) > 0 {
		return nil, problems
	}
	d.buildKeyIndex()
	return d, nil
}

// newerSchemaProblem returns the only problem that is reported for a document with a newer schema. Its unknown fields
// are not reported, because they may be valid in that schema.
func newerSchemaProblem(c *yamldoc.Checker, schema int) Problem {
	only := c.WithoutProblems()
	only.Reportf("schema", "is %d; this version understands schema %d only", schema, DocumentSchema)
	return only.Problems()[0]
}
