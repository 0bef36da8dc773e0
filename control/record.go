package control

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/platformlog"
)

// Stream is the log stream of control records.
const Stream = "control"

// FormatVersion is the record format that this package writes and reads.
const FormatVersion = 1

// Kind names what a record does.
type Kind string

// Record kinds.
const (
	KindManifest   Kind = "manifest"
	KindWithdraw   Kind = "withdraw"
	KindHomes      Kind = "homes"
	KindCheckpoint Kind = "checkpoint"
)

// Bounds of records. A record beyond a bound is invalid.
const (
	MaxRecordBytes   = 1 << 20 // encoded record
	MaxDocumentBytes = 1 << 20 // manifest document after decompression
	MaxNameBytes     = 256     // mandate, holder, service, node and record ID
	MaxReasonBytes   = 1024
	MaxGroups        = 256 // home groups proposed in one record
	MaxMembers       = 5   // members of one home group
	MaxParts         = 4096
	maxElements      = 1 << 17 // items of one array in a record or update
	maxNesting       = 8
)

// Errors of DecodeRecord.
var (
	ErrUnknownFormat = errors.New("unknown record format or kind")
	ErrBadRecord     = errors.New("bad record")
)

// Record is a decoded control record. The fields in use depend on Kind.
type Record struct {
	Version    int             `cbor:"v"`
	Kind       Kind            `cbor:"kind"`
	ID         string          `cbor:"id"`
	Mandate    string          `cbor:"mandate,omitempty"`    // manifest, withdraw
	Term       int64           `cbor:"term,omitempty"`       // manifest, withdraw
	Holder     string          `cbor:"holder,omitempty"`     // manifest
	Base       int64           `cbor:"base,omitempty"`       // manifest, withdraw: revision that the record replaces, 0 for none
	Document   []byte          `cbor:"document,omitempty"`   // manifest: see EncodeDocument
	Reason     string          `cbor:"reason,omitempty"`     // withdraw
	Groups     []GroupProposal `cbor:"groups,omitempty"`     // homes
	Checkpoint *CheckpointPart `cbor:"checkpoint,omitempty"` // checkpoint
}

// GroupProposal proposes the next home group of a service.
type GroupProposal struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Base    int64 // epoch that the proposal replaces, 0 for none
	Members []MemberItem
}

// MemberItem is the encoded form of fleet.Member.
type MemberItem struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation int64 // Unix ms
}

// CheckpointPart is one part of a checkpoint round.
type CheckpointPart struct {
	Round string `cbor:"round"` // unique, chosen by the writer
	Part  Update `cbor:"part"`  // From is 0, To is the `through` of the round
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var strictMode = decMode(cbor.ExtraDecErrorUnknownField)
var headerMode = decMode(cbor.ExtraDecErrorNone)

func decMode(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       32,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: extra,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeRecord returns the log record for r.
func EncodeRecord(r *Record) (platformlog.Record, error) {
	r.Version = FormatVersion
	if err := r.check(); err != nil {
		return platformlog.Record{}, err
	}
	data, err := encMode.Marshal(r)
	if err != nil {
		return platformlog.Record{}, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if len(data) > MaxRecordBytes {
		return platformlog.Record{}, fmt.Errorf("%w: %d bytes exceed %d", ErrBadRecord, len(data), MaxRecordBytes)
	}
	return platformlog.Record{ID: r.ID, Stream: Stream, Data: data}, nil
}

// DecodeRecord decodes the data of a log entry. It returns ErrUnknownFormat for
// a format version or kind that a later release may have introduced, and
// ErrBadRecord for anything else that is not a record within the bounds.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes exceed %d", ErrBadRecord, len(data), MaxRecordBytes)
	}
	if err := checkHeader(data); err != nil {
		return nil, err
	}
	var r Record
	if err := strictMode.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return &r, nil
}

func checkHeader(data []byte) error {
	var h struct {
		Version int  `cbor:"v"`
		Kind    Kind `cbor:"kind"`
	}
	if err := headerMode.Unmarshal(data, &h); err != nil {
		return fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if h.Version != FormatVersion {
		return fmt.Errorf("%w: version %d", ErrUnknownFormat, h.Version)
	}
	switch h.Kind {
	case KindManifest, KindWithdraw, KindHomes, KindCheckpoint:
		return nil
	}
	return fmt.Errorf("%w: kind %.32q", ErrUnknownFormat, string(h.Kind))
}
