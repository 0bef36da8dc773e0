package burn

import (
	"bytes"
	"cmp"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/fleet"
)

// Lengths of intervals, in seconds.
const (
	MinuteS = 60
	HourS   = 3600
)

// MaxIntervalBytes bounds the encoded size of an unpacked interval.
const MaxIntervalBytes = 2 << 20

// Key identifies an interval.
type Key struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation int64  `cbor:"2,keyasint" json:"incarnation"` // process start, Unix ms
	StartS      int64  `cbor:"3,keyasint" json:"start_s"`     // Unix s
	LengthS     int64  `cbor:"4,keyasint" json:"length_s"`    // MinuteS or HourS
	Part        Part   `cbor:"7,keyasint,omitempty" json:"part"`
}

// Part is the kind of content of an interval. Histograms are separate from counts
// because they are ten times as large; the histograms of an hour are replicated
// only once.
type Part uint8

// Parts of an interval.
const (
	PartCounts  Part = iota
	PartLatency      // latency histograms, in intervals of an hour only
)

// EndS returns the end of the interval, in Unix s.
func (k *Key) EndS() int64 { return k.StartS + k.LengthS }

// Count holds the requests of a service and class by Category.
type Count struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Class      fleet.Class
	ByCategory [numCategories]uint32
	// Latency is the histogram of answered requests: pairs of the lower end of a
	// bucket, in 0.1 ms, and a count. Only intervals of an hour have it.
	Latency []uint32
}

// Contributor is a target or customer with bad requests. Only a bounded number is
// tracked, so Bad may exceed the true count by up to MaxOvercount.
type Contributor struct {
	_            struct{} `cbor:",toarray"`
	Service      string
	Name         string
	Bad          uint32
	MaxOvercount uint32
}

// Interval is the unpacked content of an interval.
type Interval struct {
	_         struct{} `cbor:",toarray"`
	Counts    []Count
	Targets   []Contributor
	Customers []Contributor
}

// PackedInterval is an interval in the form in which it is stored and sent.
type PackedInterval struct {
	Key
	Version uint64 `cbor:"5,keyasint" json:"number"` // increases with every change
	Data    []byte `cbor:"6,keyasint" json:"data"`   // compressed CBOR of an Interval
}

// newer reports whether p replaces old. Intervals with the same key and version
// are normally equal. Comparing the data keeps merging independent of the order
// even if a faulty node sends two different ones.
func (p *PackedInterval) newer(old *PackedInterval) bool {
	return cmp.Or(cmp.Compare(p.Version, old.Version), bytes.Compare(p.Data, old.Data)) > 0
}

// errTooLarge reports an interval larger than MaxIntervalBytes.
var errTooLarge = errors.New("unpacked interval is too large")

var intervalDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// compressors are pooled because each one allocates more than 1 MB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

func pack(k Key, version uint64, content *Interval) (PackedInterval, error) {
	raw, err := cbor.Marshal(content)
	if err != nil {
		return PackedInterval{}, fmt.Errorf("encode interval: %w", err)
	}
	var buf bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	_, err = w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		return PackedInterval{}, fmt.Errorf("compress interval: %w", err)
	}
	return PackedInterval{Key: k, Version: version, Data: bytes.Clone(buf.Bytes())}, nil
}

// Unpack returns the content of p. It returns an error if the data is not a valid
// interval or exceeds MaxIntervalBytes.
func (p *PackedInterval) Unpack() (*Interval, error) {
	r := flate.NewReader(bytes.NewReader(p.Data))
	raw, err := io.ReadAll(io.LimitReader(r, MaxIntervalBytes+1))
	if err == nil && len(raw) > MaxIntervalBytes {
		err = errTooLarge
	}
	content := &Interval{}
	if err == nil {
		err = intervalDecoder.Unmarshal(raw, content)
	}
	if err != nil {
		return nil, fmt.Errorf("unpack interval of node %s that starts at %d: %w", p.Node, p.StartS, err)
	}
	return content, nil
}
