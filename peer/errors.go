package peer

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Kinds of failure, for errors.Is.
var (
	ErrUnreachable   = errors.New("peer unreachable")
	ErrTimeout       = errors.New("no response from peer in time")
	ErrTooLarge      = errors.New("message exceeds the size bound")
	ErrRateLimit     = errors.New("peer refused the message: rate bound exceeded")
	ErrIdentity      = errors.New("peer is not the expected node")
	ErrPlainText     = errors.New("plain text is allowed on loopback only; set certificate files or AllowPlainText")
	ErrUnknownMethod = errors.New("peer does not know the method")
	ErrMalformed     = errors.New("malformed message")
	ErrClosed        = errors.New("client is closed")
)

// Error is a failed call. Kind is one of the errors above.
type Error struct {
	Kind   error
	Addr   string
	Method string
	Err    error // cause; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	s := "peer " + e.Addr
	if e.Method != "" {
		s += " " + e.Method
	}
	s += ": " + e.Kind.Error()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Err}
}

// RemoteError is an error that the handler on the other node returned. A
// handler returns one to choose the code; other errors have code "error".
type RemoteError struct {
	_       struct{} `cbor:",toarray"`
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("remote %s: %s", e.Code, e.Message) }

func remoteError(err error) *RemoteError {
	var r *RemoteError
	if errors.As(err, &r) {
		return r
	}
	return &RemoteError{Code: "error", Message: err.Error()}
}

var kindOfCode = map[codes.Code]error{
	codes.DeadlineExceeded:  ErrTimeout,
	codes.Canceled:          ErrTimeout,
	codes.ResourceExhausted: ErrTooLarge,
	codes.Aborted:           ErrRateLimit,
	codes.Unauthenticated:   ErrIdentity,
	codes.Unimplemented:     ErrUnknownMethod,
	codes.InvalidArgument:   ErrMalformed,
	codes.Internal:          ErrMalformed,
}

func callError(addr, method string, err error) error {
	var typed *Error
	if errors.As(err, &typed) {
		return err
	}
	kind, ok := kindOfCode[status.Code(err)]
	if !ok {
		kind = ErrUnreachable
	}
	return &Error{Kind: kind, Addr: addr, Method: method, Err: err}
}
