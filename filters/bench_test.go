package filters

import (
	"net/http"
	"testing"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/limits"
	"hyssopbridge/routing"
)

func BenchmarkChain(b *testing.B) {
	reg := NewRegistry(Resources{RateLimits: limits.NewRateLimiter(limits.RateConfig{Node: "n"}), ClassLimits: limits.NewClassLimiter(1000)})
	before, err := reg.Chain(BeforeRouting())
	if err != nil {
		b.Fatal(err)
	}
	after, err := reg.Chain(AfterRouting())
	if err != nil {
		b.Fatal(err)
	}
	header := http.Header{
		"User-Agent": {"bench"}, "Accept": {"*/*"}, "Content-Type": {"application/json"}, "Content-Length": {"12"},
		"Customer-Id": {"customer-17"}, "Idempotency-Key": {"0190a1b2-7c3d-7000-8000-000000000001"}, "Request-Timeout-Ms": {"900"}, "Accept-Encoding": {"gzip"},
	}
	route := &routing.Route{ID: "s/r", CustomerHeader: "Customer-Id", Timeout: time.Second, Class: fleet.Order, Rate: &manifest.Rate{PerSecond: 1e9, Burst: 1e9}}
	ctx := &Context{Request: request(header), RemoteIP: "192.0.2.1", Route: route}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ctx.Now = time.Duration(i) * time.Microsecond
		if err := before.Request(ctx); err != nil {
			b.Fatal(err)
		}
		if err := after.Request(ctx); err != nil {
			b.Fatal(err)
		}
		after.Done(ctx)
		before.Done(ctx)
	}
}

func BenchmarkHashPayload(b *testing.B) {
	body := make([]byte, 1024)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		HashPayload("POST", "/orders", "application/json", body)
	}
}
