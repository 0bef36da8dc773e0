package routing

import (
	"fmt"
	"runtime"
	"testing"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// manyManifests returns manifests with one service of up to 8 routes each; the
// routes of every fourth service name a host.
func manyManifests(routes int) []*manifest.Manifest {
	var out []*manifest.Manifest
	for i := 0; i*8 < routes; i++ {
		host := ""
		if i%4 == 3 {
			host = fmt.Sprintf("host-%d.example", i)
		}
		var rs []manifest.Route
		for k := range min(8, routes-i*8) {
			r := manifest.Route{Name: fmt.Sprintf("r%d", k), Host: host, Class: fleet.Class(k % 4), Path: fmt.Sprintf("/s%d/r%d", i, k)}
			if k%2 == 1 {
				r.Path += "/*"
			}
			if k%4 == 0 {
				r.Methods = []string{"GET", "HEAD"}
			}
			rs = append(rs, r)
		}
		out = append(out, oneService(fmt.Sprintf("m%d", i), fmt.Sprintf("s%d", i), rs...))
	}
	return out
}

var benchRouteCounts = []int{1000, 10_000, 46_000}

func BenchmarkLookup(b *testing.B) {
	for _, n := range benchRouteCounts {
		table, err := Build(manyManifests(n))
		if err != nil {
			b.Fatal(err)
		}
		var paths, hosts []string
		for i := range 1024 {
			s := i * 37 % (n / 8)
			paths = append(paths, fmt.Sprintf("/s%d/r1/log/today/%d", s, i))
			hosts = append(hosts, fmt.Sprintf("host-%d.example:443", s))
		}
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Lookup(hosts[i%1024], paths[i%1024], "GET"); !ok {
					b.Fatal("no route for", paths[i%1024])
				}
			}
		})
	}
}

func BenchmarkNormalize(b *testing.B) {
	for _, path := range []string{"/s17/r1/log/today/991", "/s17/%72%31/log/today/991"} {
		b.Run(path, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Normalize(path); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range benchRouteCounts {
		manifests := manyManifests(n)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			before := heapBytes()
			var table *Table
			for b.Loop() {
				table, _ = Build(manifests)
			}
			b.ReportMetric(float64(heapBytes()-before), "heap-B")
			runtime.KeepAlive(table)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkWith(b *testing.B) {
	for _, n := range benchRouteCounts {
		manifests := manyManifests(n)
		table, _ := Build(manifests)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table, _ = table.With(manifests[i%len(manifests)])
			}
		})
	}
}
