package claimer

// Row decodes the state and the claim id of a claim row.
func Row(b []byte) (state, id string) {
	r, err := decodeRow(b)
	if err != nil {
		return err.Error(), ""
	}
	return string(r.State), r.ClaimID
}

// Holder returns the key of the row of a claim, and the claim id.
func Holder(c *Claim) (key, id string) {
	return c.key, c.row.ClaimID
}

// DecodeOutcome decodes the value of a claim row; known is false unless the row holds an outcome.
func DecodeOutcome(b []byte) (o Outcome, partial, known bool, err error) {
	r, err := decodeRow(b)
	if err != nil || r.State != done {
		return Outcome{}, false, false, err
	}
	return *r.outcome(), r.Partial, true, nil
}

// EncodeOutcome encodes the row of a finished claim.
func EncodeOutcome(r Request, o Outcome) []byte {
	return newRow(r).finished(o, true).encode()
}
