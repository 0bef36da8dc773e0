package platformlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a record to append.
type Record struct {
	ID     string `json:"id"`     // unique, chosen by the writer
	Stream string `json:"stream"` // stream name
	Data   []byte `json:"data"`
}

// Entry is a record in the log.
type Entry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // append time by the log's clock
	Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds r and returns its offset. It returns ErrUnknownOutcome when
	// the record may or may not have been appended, and ErrUnavailable when it
	// was not.
	Append(ctx context.Context, r Record) (int64, error)
	// Read returns at most max entries of the stream, starting at offset from.
	// The offsets of a stream have no gaps. An empty result means that the
	// stream has no entries from that offset on; a result with fewer than max
	// entries does not mean that the end was reached. Read returns an
	// ExpiredError when from is no longer retained, and ErrUnavailable for any
	// other failure.
	Read(ctx context.Context, stream string, from int64, max int) ([]Entry, error)
	// Bounds returns the first retained offset and the next offset to be
	// assigned.
	Bounds(ctx context.Context, stream string) (first, next int64, err error)
}

// ErrUnknownOutcome is returned when an append may or may not have taken effect,
// for example because its response was lost.
var ErrUnknownOutcome = errors.New("append outcome unknown")

// ErrUnavailable is returned when the log rejects a request or cannot be
// reached.
var ErrUnavailable = errors.New("log unavailable")

// ExpiredError is returned by Read when the offset is no longer retained.
type ExpiredError struct {
	From  int64 // requested offset
	First int64 // first retained offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset %d expired, first retained offset is %d", e.From, e.First)
}
