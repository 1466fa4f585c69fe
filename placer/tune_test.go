package placer_test

import (
	"testing"
	"time"
)

func TestTune(t *testing.T) {
	for _, rate := range []float64{62, 120, 160, 200, 260} {
		l := today(rate)
		p := l.playPlacer()
		cap := 182.0
		t.Logf("rate %v: in time %.3f late %.3f failed %.3f rejected %.3f possible %.3f", rate, p.share(), float64(p.late)/float64(p.asked), float64(p.failed)/float64(p.asked), float64(p.rejected)/float64(p.asked), min(1, cap/rate))
	}
	l := today(0)
	l.perSecond = func(d time.Duration) float64 {
		if d > 10*time.Second && d < 20*time.Second {
			return 260
		}
		return 62
	}
	p := l.playPlacer()
	t.Logf("peak: in time %.3f late %.3f failed %.3f rejected %.3f strange %d", p.share(), float64(p.late)/float64(p.asked), float64(p.failed)/float64(p.asked), float64(p.rejected)/float64(p.asked), p.strange)
}
