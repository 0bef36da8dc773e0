package peer

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/mem"
)

// Limits of the decoder. They bound the memory that a message of up to 1 MiB
// takes after decoding.
const (
	maxElements  = 1 << 16 // per array or map
	maxNesting   = 16
	maxTextBytes = 64 << 10
	maxItems     = 1 << 18 // data items per message
)

// Header is part of every request and response.
type Header struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation int64 // Unix ms
	Method      string
	Progress
}

// envelope is the encoded form of each request and response.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Header Header
	Error  *RemoteError
	Body   cbor.RawMessage
}

var (
	encMode = mustMode(cbor.EncOptions{}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes a message body for sending.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes a message body within the limits of the decoder.
func Unmarshal(data []byte, v any) error {
	if err := checkItems(data); err != nil {
		return err
	}
	return decMode.Unmarshal(data, v)
}

// checkItems checks the lengths of texts and the number of data items, which
// the CBOR library does not limit. It reads only the heads of the items;
// the library detects other malformed input.
func checkItems(data []byte) error {
	for items := 0; len(data) > 0; items++ {
		if items == maxItems {
			return fmt.Errorf("%w: more than %d data items", ErrMalformed, maxItems)
		}
		major, arg, rest, ok := readHead(data)
		if !ok {
			return fmt.Errorf("%w: truncated item", ErrMalformed)
		}
		data = rest
		if major != 2 && major != 3 {
			continue
		}
		if major == 3 && arg > maxTextBytes {
			return fmt.Errorf("%w: text of %d bytes, limit %d", ErrMalformed, arg, maxTextBytes)
		}
		if arg > uint64(len(data)) {
			return fmt.Errorf("%w: string exceeds the message", ErrMalformed)
		}
		data = data[arg:]
	}
	return nil
}

// readHead reads the initial byte and the argument of a data item.
func readHead(data []byte) (major byte, arg uint64, rest []byte, ok bool) {
	major, info := data[0]>>5, data[0]&31
	data = data[1:]
	if info < 24 {
		return major, uint64(info), data, true
	}
	if info > 27 {
		return major, 0, data, true
	}
	n := 1 << (info - 24)
	if len(data) < n {
		return 0, 0, nil, false
	}
	var buf [8]byte
	copy(buf[8-n:], data[:n])
	return major, binary.BigEndian.Uint64(buf[:]), data[n:], true
}

// codec implements encoding.CodecV2 for envelopes.
type codec struct{}

func (codec) Name() string { return "cbor" }

func (codec) Marshal(v any) (mem.BufferSlice, error) {
	b, err := encMode.Marshal(v.(*envelope))
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(b)}, nil
}

func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	return Unmarshal(data.Materialize(), v.(*envelope))
}
