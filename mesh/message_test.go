package mesh

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a deadline with a fraction that is ignored, so that a target
// works on for a caller that has left.
func TestDeadlineForms(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "1500.5": 1500*time.Millisecond + 500*time.Microsecond, "0": 0,
		"": -1, "x": -1, "-1": -1, "NaN": -1, "1e300": -1, "1500ms": -1,
	} {
		got, ok := getMillis(http.Header{"X-Left": {text}}, "X-Left")
		if ok != (want >= 0) || ok && got != want {
			t.Errorf("%q: got %v, %v", text, got, ok)
		}
	}
}
