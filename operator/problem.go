package operator

import (
	"errors"
	"net/http"
)

// Problem is a refused request.
type Problem struct {
	Status  int    `json:"status"` // HTTP status
	Message string `json:"error"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Message }

func problem(status int, message string) *Problem { return &Problem{status, message} }

// asProblem returns the answer to a failed request.
func asProblem(err error) *Problem {
	var p *Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, ErrUnknownTarget), errors.Is(err, ErrNotDrained):
		return problem(http.StatusNotFound, err.Error())
	case errors.Is(err, ErrHostUnreachable):
		return problem(http.StatusBadGateway, err.Error())
	}
	return problem(http.StatusInternalServerError, err.Error())
}
