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
	askTimeout = 5 * time.Second
	// maxAnswer bounds an answer of a node, in bytes.
	maxAnswer = 64 << 20
	// maxNodes bounds the nodes of one command.
	maxNodes = 4096
	// maxAsking bounds the nodes that are asked at the same time.
	maxAsking = 16
)

// exitTable is the end of the help of commands that ask nodes.
const exitTable = `
exit codes:
  0  done
  1  error: no node could be reached, or the request was refused
  2  wrong command line
  3  partial result: some nodes did not answer, or an answer was cut
`

// newFlags returns a flag set whose help ends with the exit codes.
func newFlags(name, arguments string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "usage: hyssopctl %s %s\n", name, arguments)
		fs.PrintDefaults()
		fmt.Fprint(fs.Output(), exitTable)
	}
	return fs
}

// parseFlags returns the exit code when done is set. Help that was asked for
// goes to stdout.
func parseFlags(fs *flag.FlagSet, args []string, stdout io.Writer) (code int, done bool) {
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

// nodeList parses the value of -node.
func nodeList(value string) ([]string, error) {
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

// defaultNode is the operator listener of a node on this host.
func defaultNode() string {
	var s static.Settings
	s.SetDefaults()
	return s.Operator
}

// refusedError is an answer other than 200.
type refusedError struct {
	node   string
	status int
	text   string
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("node %s refused the request: %s (HTTP %d)", e.node, e.text, e.status)
}

// ask sends a request to one node and decodes its answer into v.
func ask(method, node, path string, query url.Values, token string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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
		return unreachable(node, err)
	}
	defer resp.Body.Close()
	return decodeAnswer(node, resp, v)
}

func unreachable(node string, err error) error {
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err
	}
	return fmt.Errorf("node %s cannot be reached: %w", node, err)
}

func decodeAnswer(node string, resp *http.Response, v any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return fmt.Errorf("node %s: the answer broke off after %d bytes: %w", node, len(body), err)
	case len(body) > maxAnswer:
		return fmt.Errorf("node %s: the answer exceeds %d MiB", node, maxAnswer>>20)
	case resp.StatusCode != http.StatusOK:
		var p operator.Problem
		if json.Unmarshal(body, &p) != nil || p.Message == "" {
			p.Message = "no reason given; is this the operator listener of a node?"
		}
		return &refusedError{node, resp.StatusCode, p.Message}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("node %s: the answer is not valid: %w", node, err)
	}
	return nil
}

// answer is what one node answered.
type answer[T any] struct {
	node  string
	value T
	err   error
}

// askAll sends a GET to each node and returns the answers in the same order.
func askAll[T any](nodes []string, path string, query url.Values) []answer[T] {
	out := make([]answer[T], len(nodes))
	limit := make(chan struct{}, maxAsking)
	var wait sync.WaitGroup
	for i, node := range nodes {
		wait.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			out[i].node = node
			out[i].err = ask(http.MethodGet, node, path, query, "", &out[i].value)
		})
	}
	wait.Wait()
	return out
}

// failures prints the errors of the answers and returns the exit code.
func failures[T any](answers []answer[T], stderr io.Writer) int {
	failed := 0
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(stderr, "hyssopctl: %v\n", a.err)
			failed++
		}
	}
	switch failed {
	case 0:
		return exitOK
	case len(answers):
		fmt.Fprintln(stderr, "hyssopctl: no node answered; check -node and that the nodes run")
		return exitError
	}
	fmt.Fprintf(stderr, "hyssopctl: partial result: %d of %d nodes did not answer\n", failed, len(answers))
	return exitPartial
}
