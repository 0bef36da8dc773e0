package filters

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
)

// RequestIDHeader is the header that carries the request ID.
const RequestIDHeader = "Hb-Request-Id"

// RequestIDSpec makes the request-id filter. It gives each request a new random
// ID of 32 hex digits and returns it in the response header.
type RequestIDSpec struct{}

// Name implements Spec.
func (RequestIDSpec) Name() string { return "request-id" }

// New implements Spec. The filter takes no arguments.
func (RequestIDSpec) New(args json.RawMessage) (Filter, error) {
	return requestIDFilter{}, decodeArgs(args, &struct{}{})
}

type requestIDFilter struct{}

// Request implements Filter.
func (requestIDFilter) Request(c *Context) error {
	c.RequestID = NewRequestID()
	return nil
}

// Response implements Filter.
func (requestIDFilter) Response(c *Context) {
	c.ResponseHeader[RequestIDHeader] = []string{c.RequestID}
}

// NewRequestID returns a random ID of 32 hex digits. IDs are unique but not
// secret: the generator is not cryptographic.
func NewRequestID() string {
	var raw [16]byte
	var text [32]byte
	a, b := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		raw[i] = byte(a >> (8 * i))
		raw[8+i] = byte(b >> (8 * i))
	}
	hex.Encode(text[:], raw[:])
	return string(text[:])
}
