package forwarder

// fieldCounter counts the lines of a header as its bytes arrive, before they take a multiple of their size as a map. The status
// line is not counted, nor is anything after the empty line that ends the header.
type fieldCounter struct {
	// inLine is true after the first byte of a line, continued if that byte is a blank.
	inLine, continued bool
	lines             int
	// folded is true if a continued line has other bytes than blanks.
	folded bool
	ended  bool
}

// count adds the next bytes and returns the number of fields so far.
func (f *fieldCounter) count(b []byte) int {
	for _, c := range b {
		switch {
		case f.ended:
			return f.lines - 1
		case c == '\r':
		case c != '\n':
			blank := c == ' ' || c == '\t'
			f.continued = f.continued && f.inLine || blank && !f.inLine && f.lines > 0
			f.folded = f.folded || f.continued && !blank
			f.inLine = true
		case f.inLine:
			f.inLine = false
			f.lines++
		default:
			f.ended = true
		}
	}
	return f.lines - 1
}
