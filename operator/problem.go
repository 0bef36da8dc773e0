package operator

import (
	"errors"
	"net/http"
)

// Problem is the response to a request that failed or was refused.
type Problem struct {
	Status  int    `json:"status"` // HTTP status
	Message string `json:"error"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Message }

func newProblem(status int, message string) *Problem { return &Problem{status, message} }

// asProblem converts an error to the Problem that is sent to the client.
func asProblem(err error) *Problem {
	var p *Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, ErrUnknownTarget), errors.Is(err, ErrNotDrained):
		return newProblem(http.StatusNotFound, err.Error())
	case errors.Is(err, ErrHostUnreachable):
		return newProblem(http.StatusBadGateway, err.Error())
	}
	return newProblem(http.StatusInternalServerError, err.Error())
}
