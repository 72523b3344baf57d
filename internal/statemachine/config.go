package statemachine

import (
	"pollenlead/internal/config"
	"pollenlead/internal/record"
)

func (s *State) publishConfig(offset uint64, op record.ConfigPublish) Outcome {
	if op.Expect != s.d.ConfigVersion {
		o := rejected(ReasonVersionConflict, "the document in force is version %d, not %d", s.d.ConfigVersion, op.Expect)
		o.Version = s.d.ConfigVersion
		return o
	}
	doc, problems := config.Parse([]byte(op.Document))
	if len(problems) > 0 {
		p := problems[0]
		return rejected(ReasonInvalidDocument, "line %d, column %d: %s: %s", p.Line, p.Column, p.Path, p.Message)
	}
	s.doc = doc
	s.d.ConfigVersion++
	s.d.ConfigOffset = offset
	s.d.ConfigText = op.Document
	s.reassignPools()
	s.removeUndeclaredPools()
	s.markAllDirty()
	return Outcome{Accepted: true, Version: s.d.ConfigVersion}
}
