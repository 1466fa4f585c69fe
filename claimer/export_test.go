package claimer

// DecodeRowState returns the state and the claim ID of an encoded claim row.
func DecodeRowState(b []byte) (state, id string) {
	r, err := decodeRow(b)
	if err != nil {
		return err.Error(), ""
	}
	return string(r.State), r.ClaimID
}

// RowOfClaim returns the row key and the ID of a claim.
func RowOfClaim(c *Claim) (key, id string) {
	return c.key, c.row.ClaimID
}

// DecodeOutcome decodes the outcome in an encoded claim row. The result known is false if the row has none.
func DecodeOutcome(b []byte) (o Outcome, partial, known bool, err error) {
	r, err := decodeRow(b)
	if err != nil || r.State != done {
		return Outcome{}, false, false, err
	}
	return *r.outcome(), r.Partial, true, nil
}

// EncodeOutcome returns the encoded row of a finished claim.
func EncodeOutcome(r Request, o Outcome) []byte {
	return newRow(r).withOutcome(o, true).encode()
}
