package statemachine

import "pollenlead/internal/record"

// Claim is the record of an idempotency key that a synchronous request uses.
type Claim struct {
	Holder      string `json:"holder"`
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
	// Run is empty until the request is settled.
	Run record.Execution `json:"run,omitempty"`
}

// Claim returns the claim of an idempotency key.
func (s *State) Claim(team, idempotencyKey string) (Claim, bool) {
	c, ok := s.d.Claims[scopedKey(team, idempotencyKey)]
	if !ok {
		return Claim{}, false
	}
	return *c, true
}

// Claims returns references to the claims that may be removed: settled ones and those of ended sessions.
func (s *State) Claims() []record.ClaimRef {
	var refs []record.ClaimRef
	for _, key := range sortedKeys(s.d.Claims) {
		if s.mayForgetClaim(s.d.Claims[key]) {
			refs = append(refs, claimRefOf(key))
		}
	}
	return refs
}

// claimRefOf splits a key made by scopedKey.
func claimRefOf(key string) record.ClaimRef {
	for i := range key {
		if key[i] == 0 {
			return record.ClaimRef{Team: key[:i], IdempotencyKey: key[i+1:]}
		}
	}
	return record.ClaimRef{}
}

// mayForgetClaim reports whether the claim is settled or its session has ended.
func (s *State) mayForgetClaim(c *Claim) bool {
	_, open := s.d.Sessions[c.Holder]
	return c.Run != "" || !open
}

func (s *State) claimRequest(session *Session, op record.RequestClaim) Outcome {
	if op.IdempotencyKey == "" {
		return rejected(ReasonInvalid, "no idempotency key")
	}
	if _, ok := s.doc.Team(op.Team); !ok {
		return rejected(ReasonUnknownTeam, "team %s", op.Team)
	}
	key := scopedKey(op.Team, op.IdempotencyKey)
	if id, ok := s.d.JobKeys[key]; ok {
		return rejected(ReasonIdempotencyKeyConflict, "job %s used the key", id)
	}
	if c, ok := s.d.Claims[key]; ok {
		if c.Fingerprint != op.Fingerprint {
			return rejected(ReasonIdempotencyKeyConflict, "the key was used for other content")
		}
		return rejected(ReasonDuplicate, "the key was claimed before")
	}
	s.d.Claims[key] = &Claim{Holder: session.Holder, Service: op.Service, Fingerprint: op.Fingerprint}
	return accepted()
}

func (s *State) settleRequest(session *Session, op record.RequestSettle) Outcome {
	key := scopedKey(op.Team, op.IdempotencyKey)
	c, ok := s.d.Claims[key]
	if !ok {
		return rejected(ReasonUnknownClaim, "team %s", op.Team)
	}
	if c.Holder != session.Holder {
		return rejected(ReasonNotHolder, "the claim is held by %s", c.Holder)
	}
	switch op.Run {
	case record.ExecutionNotRun:
		delete(s.d.Claims, key)
	case record.ExecutionMayHaveRun, record.ExecutionCompleted:
		c.Run = op.Run
	default:
		return rejected(ReasonInvalid, "run %q", op.Run)
	}
	return accepted()
}

func (s *State) forgetClaims(op record.ClaimsForget) Outcome {
	for _, ref := range op.Claims {
		c, ok := s.d.Claims[scopedKey(ref.Team, ref.IdempotencyKey)]
		if ok && !s.mayForgetClaim(c) {
			return rejected(ReasonClaimOpen, "team %s", ref.Team)
		}
	}
	for _, ref := range op.Claims {
		delete(s.d.Claims, scopedKey(ref.Team, ref.IdempotencyKey))
	}
	return accepted()
}
