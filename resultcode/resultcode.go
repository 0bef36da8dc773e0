package resultcode

import "fmt"

// Code is the numbered result of a request or of an operator command.
type Code int

// Ran states whether a target ran the request.
type Ran int

// Values of Ran.
const (
	RanNo      Ran = iota // proven not run; a retry is safe
	RanYes                // run by a target
	RanUnknown            // may or may not have run
)

// String returns the value of the Hb-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Result codes of requests.
const (
	Answered Code = 1000

	NoConfiguration  Code = 1101
	NoRoute          Code = 1102
	ServiceWithdrawn Code = 1103

	NoTarget         Code = 1201
	QueueFull        Code = 1202
	DeadlineTooShort Code = 1203
	TargetDraining   Code = 1204
	RateLimited      Code = 1205
	ShedByTarget     Code = 1206
	ConnectionLimit  Code = 1207
	ClassShed        Code = 1208
	NodeDraining     Code = 1209
	RetryBudgetSpent Code = 1210
	MemoryLimit      Code = 1211
	QuotaUndecided   Code = 1212

	PeerUnreachable    Code = 1301
	PeerLost           Code = 1302
	AnswerMismatch     Code = 1303
	StaleConfiguration Code = 1304
	NoLease            Code = 1305

	UnknownOutcome Code = 1401
	StillRunning   Code = 1402
	RecordLost     Code = 1403
	AnswerNotKept  Code = 1404
	KeyReused      Code = 1405
	KeyFromFuture  Code = 1406
	Barred         Code = 1407

	BadRequest     Code = 1501
	HeaderTooLarge Code = 1502
	BodyStalled    Code = 1503
	CallerGone     Code = 1504
	BodyTooLarge   Code = 1505
	UnknownKey     Code = 1506

	Truncated   Code = 1601
	Stalled     Code = 1602
	TargetError Code = 1603
	Timeout     Code = 1604
)

// Result codes of operator commands.
const (
	CommandOK       Code = 2000
	InvalidManifest Code = 2001
	PublishConflict Code = 2002
	PublishUnknown  Code = 2003
	LogUnavailable  Code = 2004
	NodeUnreachable Code = 2005
	NotAuthorized   Code = 2006
	PartialResult   Code = 2007
	BadUsage        Code = 2008
)

// Info describes a result code.
type Info struct {
	Code    Code
	Name    string // short name, the value of the Hb-Result header
	Status  int    // HTTP status; 0 for results of operator commands
	Ran     Ran
	Meaning string // one sentence for callers and operators
}

// Lookup returns the description of c. ok is false if c is not defined.
func Lookup(c Code) (info Info, ok bool) {
	info, ok = byCode[c]
	return info, ok
}

// All returns every defined code in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}

// String returns the number and name of c.
func (c Code) String() string {
	info, ok := byCode[c]
	if !ok {
		return fmt.Sprintf("%d undefined", int(c))
	}
	return fmt.Sprintf("%d %s", int(c), info.Name)
}

// Status returns the HTTP status of c, or 500 if it has none.
func (c Code) Status() int {
	if info, ok := byCode[c]; ok && info.Status != 0 {
		return info.Status
	}
	return 500
}

// Ran returns whether c states that the request was run. It is RanUnknown for an
// undefined code.
func (c Code) Ran() Ran {
	if info, ok := byCode[c]; ok {
		return info.Ran
	}
	return RanUnknown
}

// Error is an error with a result code. Its Ran may differ from that of the code,
// see NotRun.
type Error struct {
	Code Code
	Ran  Ran
	Err  error // cause; may be nil
}

// New returns an Error with the code's Ran value and a formatted cause.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Ran: c.Ran(), Err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Code.String()
	}
	return e.Code.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun returns a copy of e that states that the request was not run. Call it
// only if that is proven.
func (e *Error) NotRun() *Error {
	c := *e
	c.Ran = RanNo
	return &c
}
