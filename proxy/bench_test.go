package proxy

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/routing"
)

// smallResponse is a target handler that sends a short body at once.
func smallResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Content-Length"] = []string{"2"}
	_, _ = io.WriteString(w, "ok")
}

// benchFixture returns the URL of an entry node with four host nodes, and the
// URL of an equal target without a proxy.
func benchFixture(b *testing.B) (viaFleet, direct string) {
	t := &testing.T{}
	f := newFixture(t, smallResponse, smallResponse, smallResponse, smallResponse)
	f.entryHandler.cfg.Observer = discardObserver{}
	d := startServer(t, http.HandlerFunc(smallResponse))
	b.Cleanup(f.entry.Close)
	return f.entry.URL + "/read/1", d.URL + "/read/1"
}

type discardObserver struct{}

func (discardObserver) Start(*routing.Route, *fleet.Endpoint) Observation { return discardObserver{} }
func (discardObserver) Finished(*Result)                                  {}
func (discardObserver) End(Outcome, time.Duration)                        {}

// BenchmarkThroughput measures the requests per second of 64 callers in a closed
// loop.
func BenchmarkThroughput(b *testing.B) {
	viaFleet, direct := benchFixture(b)
	b.Run("direct", func(b *testing.B) { throughput(b, direct) })
	b.Run("fleet", func(b *testing.B) { throughput(b, viaFleet) })
}

func throughput(b *testing.B, url string) {
	b.ReportAllocs()
	const callers = 64
	tr := &http.Transport{MaxIdleConnsPerHost: callers}
	defer tr.CloseIdleConnections()
	var left atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				get(b, tr, url)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func get(b *testing.B, tr *http.Transport, url string) {
	req, _ := http.NewRequest(http.MethodGet, url, nil)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
}

// BenchmarkLatency measures the latency that the proxy adds. It sends 400
// requests/s at fixed times, alternately to the fleet and directly to a target,
// so that both are measured under the same load of the machine.
func BenchmarkLatency(b *testing.B) {
	viaFleet, direct := benchFixture(b)
	const interval = 2500 * time.Microsecond
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	defer tr.CloseIdleConnections()
	var mu sync.Mutex
	took := map[string][]time.Duration{}
	var wg sync.WaitGroup
	next := time.Now()
	for range b.N {
		for _, url := range []string{viaFleet, direct} {
			next = next.Add(interval / 2)
			time.Sleep(time.Until(next))
			wg.Go(func() {
				start := time.Now()
				get(b, tr, url)
				mu.Lock()
				took[url] = append(took[url], time.Since(start))
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}} {
		added := quantile(took[viaFleet], q.at) - quantile(took[direct], q.at)
		b.ReportMetric(float64(added.Microseconds()), q.name+"-added-us")
		b.ReportMetric(float64(quantile(took[direct], q.at).Microseconds()), q.name+"-direct-us")
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
