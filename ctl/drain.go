package ctl

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"hyssopbridge/operator"
)

func init() {
	register(Command{Name: "drain", Summary: "stop new requests to a target, or allow them again", Run: runDrain})
}

func runDrain(args []string, stdout, stderr io.Writer) int {
	fs := newNodeFlags("drain", "[-undo] [-node ADDR] [-token-file F] [-json] TARGET", stderr)
	undo := fs.Bool("undo", false, "end the drain of the target")
	node := fs.String("node", defaultNode(), "operator `ADDR`ess of any node; it forwards the request to the target's host node")
	tokenFile := fs.String("token-file", "", "`FILE` with the operators' token")
	asJSON := fs.Bool("json", false, "print JSON")
	if code, done := parseNodeFlags(fs, args, stdout); done {
		return code
	}
	token, err := checkDrainArgs(fs.Args(), *node, *tokenFile)
	if err != nil {
		fmt.Fprintf(stderr, "hyssopctl drain: %v\n", err)
		return exitUsage
	}
	method, outcome := http.MethodPost, "drained; requests in flight go on"
	if *undo {
		method, outcome = http.MethodDelete, "no longer drained"
	}
	var changed operator.DrainResult
	if err := callNode(method, *node, "/v1/drain/"+url.PathEscape(fs.Arg(0)), nil, token, &changed); err != nil {
		return reportDrainError(err, stderr)
	}
	if *asJSON {
		return printJSON(stdout, stderr, changed)
	}
	fmt.Fprintf(stdout, "target %s at node %s: %s\n", changed.Target, changed.Host, outcome)
	return exitOK
}

func checkDrainArgs(args []string, node, tokenFile string) (token string, err error) {
	if len(args) != 1 {
		return "", fmt.Errorf("want one TARGET after the flags, got %d", len(args))
	}
	nodes, err := parseNodeList(node)
	if err != nil {
		return "", err
	}
	if len(nodes) != 1 {
		return "", errors.New("-node: want one address; the node forwards the request")
	}
	if tokenFile == "" {
		return "", nil
	}
	return operator.ReadToken(tokenFile)
}

func reportDrainError(err error, stderr io.Writer) int {
	fmt.Fprintf(stderr, "hyssopctl drain: %v\n", err)
	var refused *statusError
	if errors.As(err, &refused) && refused.status == http.StatusUnauthorized {
		fmt.Fprintln(stderr, "hyssopctl drain: give the token with -token-file")
	}
	return exitError
}
