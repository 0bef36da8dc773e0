package proxy

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"
)

// newAttemptID returns a UUIDv7 issued at now. The time lets a host node tell
// attempts that are still in its admission table, if it admitted them, from
// those that may have expired.
func newAttemptID(now time.Time) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|rand.Uint64()>>48)
	binary.BigEndian.PutUint64(b[8:], rand.Uint64())
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	var out [36]byte
	hex.Encode(out[:8], b[:4])
	hex.Encode(out[9:13], b[4:6])
	hex.Encode(out[14:18], b[6:8])
	hex.Encode(out[19:23], b[8:10])
	hex.Encode(out[24:], b[10:])
	out[8], out[13], out[18], out[23] = '-', '-', '-', '-'
	return string(out[:])
}
