package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"hyssopbridge/config/static"
	"hyssopbridge/operator"
)

// exitPartial is the exit code of a command that printed a partial result.
const exitPartial = 3

const (
	callTimeout = 5 * time.Second
	// maxResponseBytes bounds the response of a node.
	maxResponseBytes = 64 << 20
	// maxNodes bounds the nodes that one command calls.
	maxNodes = 4096
	// maxConcurrentCalls bounds the nodes called at the same time.
	maxConcurrentCalls = 16
)

// exitCodeHelp is the end of the help text of commands that call nodes.
const exitCodeHelp = `
exit codes:
  0  done
  1  error: no node responded, or the request was refused
  2  wrong command line
  3  partial result: some nodes did not respond, or a response was truncated
`

// newNodeFlags returns the flag set of a command that calls nodes. Its help ends
// with the exit codes.
func newNodeFlags(name, arguments string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "usage: hyssopctl %s %s\n", name, arguments)
		fs.PrintDefaults()
		fmt.Fprint(fs.Output(), exitCodeHelp)
	}
	return fs
}

// parseNodeFlags parses the flags of a command that calls nodes. If done is true,
// the command must exit with code. Requested help goes to stdout.
func parseNodeFlags(fs *flag.FlagSet, args []string, stdout io.Writer) (code int, done bool) {
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" {
			fs.SetOutput(stdout)
		}
	}
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, true
	case err != nil:
		return exitUsage, true
	}
	return 0, false
}

// parseNodeList parses and checks the value of -node.
func parseNodeList(value string) ([]string, error) {
	var nodes []string
	for _, a := range strings.Split(value, ",") {
		a = strings.TrimSpace(a)
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, fmt.Errorf("-node: %.60q is not IP:port", a)
		}
		nodes = append(nodes, a)
	}
	if len(nodes) > maxNodes {
		return nil, fmt.Errorf("-node: %d nodes, at most %d are allowed", len(nodes), maxNodes)
	}
	return nodes, nil
}

// defaultNode returns the default address of the operator listener on this host.
func defaultNode() string {
	var s static.Settings
	s.SetDefaults()
	return s.Operator
}

// statusError is an error response of a node.
type statusError struct {
	node   string
	status int
	text   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("node %s refused the request: %s (HTTP %d)", e.node, e.text, e.status)
}

// callNode sends a request to one node and decodes the response into v.
func callNode(method, node, path string, query url.Values, token string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: node, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.JoinPath(path).String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("node %s: %w", node, err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return unreachableError(node, err)
	}
	defer resp.Body.Close()
	return decodeResponse(node, resp, v)
}

func unreachableError(node string, err error) error {
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err
	}
	return fmt.Errorf("node %s cannot be reached: %w", node, err)
}

func decodeResponse(node string, resp *http.Response, v any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("node %s: the response ended early, after %d bytes: %w", node, len(body), err)
	case len(body) > maxResponseBytes:
		return fmt.Errorf("node %s: the response is larger than %d MiB", node, maxResponseBytes>>20)
	case resp.StatusCode != http.StatusOK:
		var p operator.Problem
		if json.Unmarshal(body, &p) != nil || p.Message == "" {
			p.Message = "no reason given; is this the operator listener of a node?"
		}
		return &statusError{node, resp.StatusCode, p.Message}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("node %s: the response is not valid: %w", node, err)
	}
	return nil
}

// response is the response of one node, or the error of the call.
type response[T any] struct {
	node  string
	value T
	err   error
}

// callNodes sends a GET request to each node and returns the responses in the
// order of nodes.
func callNodes[T any](nodes []string, path string, query url.Values) []response[T] {
	out := make([]response[T], len(nodes))
	limit := make(chan struct{}, maxConcurrentCalls)
	var wait sync.WaitGroup
	for i, node := range nodes {
		wait.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			out[i].node = node
			out[i].err = callNode(http.MethodGet, node, path, query, "", &out[i].value)
		})
	}
	wait.Wait()
	return out
}

// reportFailures prints the errors of the calls and returns the exit code.
func reportFailures[T any](responses []response[T], stderr io.Writer) int {
	failed := 0
	for _, r := range responses {
		if r.err != nil {
			fmt.Fprintf(stderr, "hyssopctl: %v\n", r.err)
			failed++
		}
	}
	switch failed {
	case 0:
		return exitOK
	case len(responses):
		fmt.Fprintln(stderr, "hyssopctl: no node responded; check -node and that the nodes are running")
		return exitError
	}
	fmt.Fprintf(stderr, "hyssopctl: partial result: %d of %d nodes did not respond\n", failed, len(responses))
	return exitPartial
}
