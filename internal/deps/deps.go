// Package deps keeps libraries in go.mod until the packages that use them are merged.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/apex/log/handlers/text"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/rcrowley/go-metrics"
	_ "golang.org/x/net/http/httpguts"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc"
	_ "pgregory.net/rapid"
)
