package once

import (
	"net/http"
	"time"
)

// State is the state of a key at a home.
type State uint8

// States of a record.
const (
	None     State = iota // no record: this home never ran the key
	Running               // sent to a host node, or about to be sent
	Answered              // ran, with a known response
	NotRun                // the last attempt is proven not to have run
	Unknown               // may have run
	Barred                // not run by this home, which has replied so to a later home
)

// String returns the name used in reports.
func (s State) String() string {
	return [...]string{"none", "running", "answered", "not-run", "unknown", "barred"}[s]
}

// forbidsRun reports whether the state forbids every further run, in any epoch.
func (s State) forbidsRun() bool { return s == Answered || s == Running || s == Unknown }

// PayloadHash identifies the payload of an order. It must be a cryptographic
// hash of method, path and body, so that equal hashes mean equal payloads.
type PayloadHash [32]byte

// Response is a stored response.
type Response struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

func (a *Response) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// record is the state of one key.
type record struct {
	hash         PayloadHash
	started      time.Duration // start of the last attempt; the window counts from here
	response     *Response     // nil unless Answered and kept
	epoch        int64         // epoch of the last attempt
	barredBefore int64         // runs in epochs before this one are forbidden; 0 if not barred
	attempt      uint32
	state        State
}

// Entry is a record in a lookup reply or a handover batch.
type Entry struct {
	State    State         `cbor:"1,keyasint"`
	Hash     PayloadHash   `cbor:"2,keyasint"`
	Response *Response     `cbor:"3,keyasint,omitempty"` // nil if not kept
	Age      time.Duration `cbor:"4,keyasint"`           // since the start of the last attempt
}
