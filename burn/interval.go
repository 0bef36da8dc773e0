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

// Lengths of slots, in seconds.
const (
	MinuteS = 60
	HourS   = 3600
)

// MaxIntervalBytes bounds an unpacked slot.
const MaxIntervalBytes = 2 << 20

// Key identifies a slot.
type Key struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation int64  `cbor:"2,keyasint" json:"incarnation"` // process start, Unix ms
	StartS      int64  `cbor:"3,keyasint" json:"start_s"`     // Unix s
	LengthS     int64  `cbor:"4,keyasint" json:"length_s"`    // MinuteS or HourS
	Part        Part   `cbor:"7,keyasint,omitempty" json:"part"`
}

// Part tells what a slot holds. Histograms are apart from counts because they
// are ten times as long; copies of an hour's histograms are sent once.
type Part uint8

// Parts.
const (
	PartCounts  Part = iota
	PartLatency      // hours only
)

// EndS returns the end of the slot, in Unix s.
func (k *Key) EndS() int64 { return k.StartS + k.LengthS }

// Count holds the requests of a service and class by Category.
type Count struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Class      fleet.Class
	ByCategory [numVerdicts]uint32
	// Latency holds the answered requests: pairs of a time in 0.1 ms, which is
	// the lower end of a histogram bucket, and a count. Only hours have it.
	Latency []uint32
}

// Contributor is a target or customer with bad requests. Bad exceeds the true count
// by at most Over, because a bounded number of spenders is tracked.
type Contributor struct {
	_            struct{} `cbor:",toarray"`
	Service      string
	Name         string
	Bad          uint32
	MaxOvercount uint32
}

// Interval is the content of a slot.
type Interval struct {
	_         struct{} `cbor:",toarray"`
	Counts    []Count
	Targets   []Contributor
	Customers []Contributor
}

// PackedInterval is a slot in the form in which it is kept and sent.
type PackedInterval struct {
	Key
	Version uint64 `cbor:"5,keyasint" json:"number"` // rises with every change of the slot
	Data    []byte `cbor:"6,keyasint" json:"data"`   // compressed CBOR of an Interval
}

// newer reports whether p replaces old. Slots of one process with the same
// number are equal; comparing the data keeps the merge independent of its order
// even if a faulty node sends two.
func (p *PackedInterval) newer(old *PackedInterval) bool {
	return cmp.Or(cmp.Compare(p.Version, old.Version), bytes.Compare(p.Data, old.Data)) > 0
}

// errTooLong reports a slot above MaxIntervalBytes.
var errTooLong = errors.New("slot is too long")

var slotDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// writers are kept because a new one takes more than 1 MB.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

func pack(k Key, number uint64, s *Interval) (PackedInterval, error) {
	raw, err := cbor.Marshal(s)
	if err != nil {
		return PackedInterval{}, fmt.Errorf("pack slot: %w", err)
	}
	var buf bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	_, err = w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		return PackedInterval{}, fmt.Errorf("pack slot: %w", err)
	}
	return PackedInterval{Key: k, Version: number, Data: bytes.Clone(buf.Bytes())}, nil
}

// Unpack returns the content of p. It fails for data that exceeds
// MaxIntervalBytes or is no slot.
func (p *PackedInterval) Unpack() (*Interval, error) {
	r := flate.NewReader(bytes.NewReader(p.Data))
	raw, err := io.ReadAll(io.LimitReader(r, MaxIntervalBytes+1))
	if err == nil && len(raw) > MaxIntervalBytes {
		err = errTooLong
	}
	s := &Interval{}
	if err == nil {
		err = slotDecoder.Unmarshal(raw, s)
	}
	if err != nil {
		return nil, fmt.Errorf("slot of node %s at %d: %w", p.Node, p.StartS, err)
	}
	return s, nil
}
