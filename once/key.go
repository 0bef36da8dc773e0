package once

import (
	"encoding/binary"
	"encoding/hex"
)

// Key identifies an order. Two customers or two routes never share a record,
// even if their callers send equal idempotency keys.
type Key struct {
	Service  string
	Customer string
	Route    string // name of the route, stable across manifest versions
	Value    string // idempotency key sent by the caller
}

// Scoped returns the key as one string for lease.HomeIn. Each part is
// preceded by its length, so different keys have different strings.
func (k Key) Scoped() string {
	n := len(k.Service) + len(k.Customer) + len(k.Route) + len(k.Value)
	b := make([]byte, 0, n+4*binary.MaxVarintLen32)
	b = appendPart(b, k.Service)
	b = appendPart(b, k.Customer)
	b = appendPart(b, k.Route)
	b = appendPart(b, k.Value)
	return string(b)
}

func appendPart(b []byte, part string) []byte {
	b = binary.AppendUvarint(b, uint64(len(part)))
	return append(b, part...)
}

// scopePrefix returns the common prefix of the scoped keys of a service.
func scopePrefix(service string) string { return string(appendPart(nil, service)) }

// IssuedMS returns the issue time of a UUIDv7 key in Unix ms. ok is false for
// every other form of key; such keys are opaque.
func IssuedMS(value string) (ms int64, ok bool) {
	raw, ok := uuidBytes(value)
	if !ok {
		return 0, false
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 0b10 {
		return 0, false
	}
	var b [8]byte
	copy(b[2:], raw[:6])
	return int64(binary.BigEndian.Uint64(b[:])), true
}

const uuidLen = 36

// uuidBytes decodes a UUID of hexadecimal digits in the form 8-4-4-4-12.
func uuidBytes(value string) (raw [16]byte, ok bool) {
	if len(value) != uuidLen {
		return raw, false
	}
	var digits [32]byte
	n := 0
	for i := range uuidLen {
		dash := i == 8 || i == 13 || i == 18 || i == 23
		if dash != (value[i] == '-') {
			return raw, false
		}
		if !dash {
			digits[n] = value[i]
			n++
		}
	}
	_, err := hex.Decode(raw[:], digits[:])
	return raw, err == nil
}
