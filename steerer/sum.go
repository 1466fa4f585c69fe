package steerer

import "math"

// sum adds float64 values and keeps what rounding loses, so that the order in which blocks are added decides neither a cap
// nor a capacity (Neumaier, "Rundungsfehleranalyse einiger Verfahren zur Summation endlicher Summen", 1974).
type sum struct {
	high, low float64
}

func (s *sum) add(v float64) {
	t := s.high + v
	if math.Abs(s.high) >= math.Abs(v) {
		s.low += s.high - t + v
	} else {
		s.low += v - t + s.high
	}
	s.high = t
}

func (s *sum) join(o sum) {
	s.add(o.high)
	s.add(o.low)
}

func (s *sum) subtract(o sum) {
	s.add(-o.high)
	s.add(-o.low)
}

// value returns infinity for a sum beyond the range of float64, so that no bound is above it.
func (s *sum) value() float64 {
	if v := s.high + s.low; !math.IsNaN(v) {
		return v
	}
	return math.Inf(1)
}
