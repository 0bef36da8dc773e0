package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"hyssopbridge/control"
	"hyssopbridge/platformlog"
	"hyssopbridge/resultcode"
)

var publishCodes = []resultcode.Code{
	resultcode.CommandOK, resultcode.BadUsage, resultcode.InvalidManifest, resultcode.PublishConflict,
	resultcode.PublishUnknown, resultcode.LogUnavailable,
}

func init() {
	register(Command{Name: "publish", Summary: "publish a manifest", Run: runPublish})
	register(Command{Name: "withdraw", Summary: "withdraw a mandate", Run: runWithdraw})
}

// operation holds the flags shared by publish and withdraw.
type operation struct {
	json *bool
	log  *string
	base *int64
}

func operationFlags(fs *flag.FlagSet) operation {
	return operation{
		json: fs.Bool("json", false, "print JSON"),
		log:  fs.String("log", "", "`URL` of the log service, for example http://127.0.0.1:7000"),
		base: fs.Int64("base", control.HeadBase, "revision that the operation replaces, 0 for none; without it, the revision at the head of the log"),
	}
}

func runPublish(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("publish", "-log URL [-base N] [-json] FILE", stdout, publishCodes...)
	op := operationFlags(fs)
	if exit := parseArgs(fs, args, 1, stderr); exit >= 0 {
		return exit
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		fmt.Fprintf(stderr, "hyssopctl publish: %v\n", err)
		return exitError
	}
	return op.run("publish", "published", stdout, stderr, func(ctx context.Context, p *control.Publisher) (control.Published, error) {
		return p.Publish(ctx, fs.Arg(0), data, *op.base)
	})
}

func runWithdraw(args []string, stdout, stderr io.Writer) int {
	fs := newCommandFlags("withdraw", "-log URL -mandate NAME -reason TEXT [-base N] [-json]", stdout, publishCodes...)
	op := operationFlags(fs)
	mandate := fs.String("mandate", "", "`NAME` of the mandate")
	reason := fs.String("reason", "", "`TEXT` with the reason; it is stored with the withdrawal")
	if exit := parseArgs(fs, args, 0, stderr); exit >= 0 {
		return exit
	}
	if *mandate == "" || *reason == "" {
		fmt.Fprintln(stderr, "hyssopctl withdraw: -mandate and -reason are required")
		return exitUsage
	}
	return op.run("withdraw", "withdrew", stdout, stderr, func(ctx context.Context, p *control.Publisher) (control.Published, error) {
		return p.Withdraw(ctx, *mandate, *reason, *op.base)
	})
}

// run performs the operation and prints the result.
func (op operation) run(command, done string, stdout, stderr io.Writer, do func(context.Context, *control.Publisher) (control.Published, error)) int {
	u, err := url.Parse(*op.log)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		fmt.Fprintf(stderr, "hyssopctl %s: -log is %q, want the URL of the log service\n", command, *op.log)
		return exitUsage
	}
	if *op.base < control.HeadBase {
		fmt.Fprintf(stderr, "hyssopctl %s: -base is %d, want 0 or more\n", command, *op.base)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := control.NewPublisher(control.PublisherConfig{Log: platformlog.NewHTTPClient(*op.log)})
	got, err := do(ctx, p)
	if err != nil {
		return resultOf(err).print(command, *op.json, stdout, stderr)
	}
	r := newResult(resultcode.CommandOK)
	r.Accepted = &got
	r.Message = fmt.Sprintf("%s mandate %s, term %d: revision %d replaces %d (record %s)", done, got.Mandate, got.Term, got.Revision, got.Base, got.ID)
	return r.print(command, *op.json, stdout, stderr)
}
