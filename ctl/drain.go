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
	register(Command{Name: "drain", Summary: "stop new work for a target, or allow it again", Run: runDrain})
}

func runDrain(args []string, stdout, stderr io.Writer) int {
	fs := newFlags("drain", "[-undo] [-node ADDR] [-token-file F] [-json] TARGET", stderr)
	undo := fs.Bool("undo", false, "end the drain of the target")
	node := fs.String("node", defaultNode(), "operator `ADDR`ess of any node; it passes the request to the target's host node")
	tokenFile := fs.String("token-file", "", "`FILE` with the operators' token")
	asJSON := fs.Bool("json", false, "print JSON")
	if code, done := parseFlags(fs, args, stdout); done {
		return code
	}
	token, err := checkDrain(fs.Args(), *node, *tokenFile)
	if err != nil {
		fmt.Fprintf(stderr, "hyssopctl drain: %v\n", err)
		return exitUsage
	}
	method, did := http.MethodPost, "drained; requests in flight go on"
	if *undo {
		method, did = http.MethodDelete, "no longer drained"
	}
	var changed operator.DrainResult
	if err := ask(method, *node, "/v1/drain/"+url.PathEscape(fs.Arg(0)), nil, token, &changed); err != nil {
		return drainFailed(err, stderr)
	}
	if *asJSON {
		return printJSON(stdout, stderr, changed)
	}
	fmt.Fprintf(stdout, "target %s at node %s: %s\n", changed.Target, changed.Host, did)
	return exitOK
}

func checkDrain(args []string, node, tokenFile string) (token string, err error) {
	if len(args) != 1 {
		return "", fmt.Errorf("want one TARGET after the flags, got %d", len(args))
	}
	nodes, err := nodeList(node)
	if err != nil {
		return "", err
	}
	if len(nodes) != 1 {
		return "", errors.New("-node: want one address; the node passes the request on")
	}
	if tokenFile == "" {
		return "", nil
	}
	return operator.ReadToken(tokenFile)
}

func drainFailed(err error, stderr io.Writer) int {
	fmt.Fprintf(stderr, "hyssopctl drain: %v\n", err)
	var refused *refusedError
	if errors.As(err, &refused) && refused.status == http.StatusUnauthorized {
		fmt.Fprintln(stderr, "hyssopctl drain: give the token with -token-file")
	}
	return exitError
}
