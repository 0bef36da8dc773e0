package dynamic

import "testing"

// Guards against customers without a quota that get next to nothing beside others
// while a service is short, or that keep these from being served.
func TestWeightWithoutQuota(t *testing.T) {
	weights := func(rates ...float64) []float64 {
		var customers []Customer
		for i, rate := range rates {
			name := string(rune('a' + i))
			customers = append(customers, Customer{Name: name, Keys: []string{name}, Quota: Quota{PerSecond: rate}})
		}
		c, err := New(1, []Service{{Name: "s"}}, testLimits, Customers{KeysRequired: true, Accounts: customers}, nil)
		if err != nil {
			t.Fatal(err)
		}
		var out []float64
		for i := range rates {
			out = append(out, c.Customer(string(rune('a'+i))).Weight())
		}
		return out
	}
	for _, c := range []struct{ rates, want []float64 }{
		{[]float64{0, 5, 20, 1000}, []float64{20, 5, 20, 1000}},
		{[]float64{0, 50, 0}, []float64{50, 50, 50}},
		{[]float64{0, 0}, []float64{0, 0}},
	} {
		for i, got := range weights(c.rates...) {
			if got != c.want[i] {
				t.Errorf("rates %v: weight %v of customer %d, want %v", c.rates, got, i, c.want[i])
			}
		}
	}
}
