package filters

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"
)

// KeyHeader is the header that carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// MaxKeyBytes bounds the length of an idempotency key.
const MaxKeyBytes = 128

// IdempotencySpec makes the idempotency filter. On non-idempotent routes it reads
// the key from the request; on idempotent routes it ignores the key.
type IdempotencySpec struct{}

// Name implements Spec.
func (IdempotencySpec) Name() string { return "idempotency" }

// New implements Spec. The filter takes no arguments.
func (IdempotencySpec) New(args json.RawMessage) (Filter, error) {
	return idempotencyFilter{}, decodeArgs(args, &struct{}{})
}

type idempotencyFilter struct{}

// Request implements Filter.
func (idempotencyFilter) Request(c *Context) error {
	if c.Route.Idempotent {
		return nil
	}
	values := c.Request.Header[KeyHeader]
	if len(values) == 0 {
		return nil
	}
	key, ok := ParseKey(values[0])
	if !ok || len(values) > 1 {
		return badRequest("invalid %s", KeyHeader)
	}
	c.Key = key
	return nil
}

// Response implements Filter.
func (idempotencyFilter) Response(*Context) {}

// ParseKey validates an idempotency key: 1 to 128 ASCII letters, digits and
// -._~: characters. Enclosing double quotes are removed.
func ParseKey(v string) (string, bool) {
	if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
		v = v[1 : len(v)-1]
	}
	if v == "" || len(v) > MaxKeyBytes {
		return "", false
	}
	for i := 0; i < len(v); i++ {
		if !validKeyByte(v[i]) {
			return "", false
		}
	}
	return v, true
}

func validKeyByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~' || c == ':'
}

// PayloadHash is a hash of the content of a request, used to detect an
// idempotency key that is reused for another payload.
type PayloadHash [16]byte

// PayloadHasher computes a PayloadHash while the body is read.
type PayloadHasher struct{ sum hash.Hash }

// NewPayloadHasher starts a hash with the parts of a request other than the body
// that belong to its content. Each part is preceded by its length, so that moving
// bytes from one part to the next changes the hash.
func NewPayloadHasher(method, target, contentType string) *PayloadHasher {
	head := make([]byte, 0, 24+len(method)+len(target)+len(contentType))
	for _, part := range [...]string{method, target, contentType} {
		head = binary.BigEndian.AppendUint64(head, uint64(len(part)))
		head = append(head, part...)
	}
	p := &PayloadHasher{sum: sha256.New()}
	_, _ = p.sum.Write(head)
	return p
}

// Write adds body bytes to the hash. It never returns an error.
func (p *PayloadHasher) Write(b []byte) (int, error) { return p.sum.Write(b) }

// Sum returns the hash of the bytes written so far.
func (p *PayloadHasher) Sum() PayloadHash {
	var full [sha256.Size]byte
	var out PayloadHash
	copy(out[:], p.sum.Sum(full[:0]))
	return out
}

// HashPayload returns the hash of a request whose body is in memory.
func HashPayload(method, target, contentType string, body []byte) PayloadHash {
	p := NewPayloadHasher(method, target, contentType)
	_, _ = p.Write(body)
	return p.Sum()
}
