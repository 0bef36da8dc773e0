package filters

import (
	"encoding/json"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"hyssopbridge/resultcode"
)

// HeaderArgs are the arguments of the headers filter.
type HeaderArgs struct {
	MaxBytes      int `json:"max_bytes"`       // total of all names and values, in bytes; default 32768
	MaxFields     int `json:"max_fields"`      // number of header fields; default 100
	MaxValueBytes int `json:"max_value_bytes"` // one value, in bytes; default 8192
}

// Defaults of HeaderArgs.
const (
	DefaultHeaderBytes      = 32 << 10
	DefaultHeaderFields     = 100
	DefaultHeaderValueBytes = 8 << 10
)

// HeaderSpec makes the headers filter. It refuses malformed and oversized
// headers and the ambiguous framing used for request smuggling, and removes
// hop-by-hop and Hb-* fields from the request.
type HeaderSpec struct{}

// Name implements Spec.
func (HeaderSpec) Name() string { return "headers" }

// New implements Spec. args holds HeaderArgs.
func (HeaderSpec) New(args json.RawMessage) (Filter, error) {
	a := HeaderArgs{DefaultHeaderBytes, DefaultHeaderFields, DefaultHeaderValueBytes}
	if err := decodeArgs(args, &a); err != nil {
		return nil, err
	}
	return headerFilter{a}, nil
}

type headerFilter struct{ args HeaderArgs }

// Request implements Filter.
func (f headerFilter) Request(c *Context) error {
	if err := CheckRequest(c.Request, f.args); err != nil {
		return err
	}
	StripHeader(c.Request.Header)
	return nil
}

// Response implements Filter. It does nothing: the code that copies the target's
// header calls StripHeader before the node sets its own Hb-* fields.
func (headerFilter) Response(*Context) {}

// CheckRequest returns an error for malformed, oversized and ambiguous requests.
// The error is a *resultcode.Error with BadRequest or HeaderTooLarge.
func CheckRequest(r *http.Request, limits HeaderArgs) error {
	if err := checkMethod(r); err != nil {
		return err
	}
	if !httpguts.ValidHostHeader(r.Host) || strings.ContainsAny(r.Host, "/\\@?#,; ") {
		return badRequest("invalid Host")
	}
	if err := checkFields(r.Header, limits); err != nil {
		return err
	}
	return checkFraming(r)
}

func badRequest(format string, args ...any) error {
	return resultcode.New(resultcode.BadRequest, format, args...)
}

func headerTooLarge(format string, args ...any) error {
	return resultcode.New(resultcode.HeaderTooLarge, format, args...)
}

func checkMethod(r *http.Request) error {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace, "":
		return badRequest("method %q is not accepted", r.Method)
	}
	if !httpguts.ValidHeaderFieldName(r.Method) {
		return badRequest("invalid method")
	}
	return nil
}

func checkFields(h http.Header, limits HeaderArgs) error {
	fields, size := 0, 0
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) || framingAlias(name) {
			return badRequest("invalid header name")
		}
		for _, v := range values {
			fields++
			size += len(name) + len(v)
			if err := checkValue(name, v, limits); err != nil {
				return err
			}
		}
	}
	if fields > limits.MaxFields {
		return headerTooLarge("%d header fields, at most %d are accepted", fields, limits.MaxFields)
	}
	if size > limits.MaxBytes {
		return headerTooLarge("%d header bytes, at most %d are accepted", size, limits.MaxBytes)
	}
	return nil
}

func checkValue(name, value string, limits HeaderArgs) error {
	if len(value) > limits.MaxValueBytes {
		return headerTooLarge("header %s has %d bytes, at most %d are accepted", name, len(value), limits.MaxValueBytes)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return badRequest("invalid value of header %s", name)
	}
	return nil
}
