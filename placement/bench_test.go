package placement

import (
	"fmt"
	"testing"
	"time"

	"hyssopbridge/admission"
)

// BenchmarkRank measures the cost of a ranking for each request.
func BenchmarkRank(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			v := NewView(DefaultConfig("0", "z0"), func() time.Duration { return time.Minute }, 1)
			for i := range hosts {
				v.Update(Host{fmt.Sprint(i), fmt.Sprint("z", i%4)}, admission.Status{Target: fmt.Sprint(i), Service: "s", Phase: admission.Serving, Slots: 15, Running: i % 15, Tested: true})
			}
			b.ReportAllocs()
			for b.Loop() {
				v.Rank(Request{Service: "s", Idempotent: true})
			}
		})
	}
}
