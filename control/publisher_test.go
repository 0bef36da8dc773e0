package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
	"hyssopbridge/resultcode"
)

// limitedWait returns a wait function that does not sleep and fails after limit
// calls.
func limitedWait(limit int) func(context.Context, time.Duration) error {
	return func(context.Context, time.Duration) error {
		if limit--; limit < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}
}

func publisher(log platformlog.Log) *Publisher {
	return NewPublisher(PublisherConfig{Log: log, Wait: limitedWait(50)})
}

var testCtx = context.Background()

// Guards against two accepted manifests with the same base when operators
// publish concurrently, and against a conflict that does not name the winner.
func TestConcurrentPublishers(t *testing.T) {
	log := standin.New(time.Now)
	const publishers = 8
	var wg sync.WaitGroup
	results := make([]Published, publishers)
	errs := make([]error, publishers)
	for i := range publishers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], errs[i] = publisher(log).Publish(testCtx, "m", source("grain", 1, fmt.Sprintf("desk-%d", i)), 0)
		}()
	}
	wg.Wait()
	winner := ""
	for i := range publishers {
		if errs[i] == nil {
			if winner != "" {
				t.Fatalf("%s and %s were both accepted", winner, results[i].ID)
			}
			winner = results[i].ID
		}
	}
	for _, err := range errs {
		var conflict *ConflictError
		if err != nil && (!errors.As(err, &conflict) || conflict.Winner.ID != winner) {
			t.Errorf("rejected publisher got %v, want a conflict with %s", err, winner)
		}
	}
}

// Guards against a publisher that reports a failure, assumes an outcome or
// publishes twice when the response to an append is lost, also when the network
// delivers the append twice.
func TestLostResponseIsResolvedFromLog(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"response lost":            {LostResponses: 1},
		"response lost, duplicate": {LostResponses: 1, Duplicates: 1},
	} {
		log := standin.New(time.Now)
		mustAppend(t, log, manifestRecord(t, "x", "other", 1, 0, "reserve"))
		log.SetFaults(f)
		got, err := publisher(log).Publish(testCtx, "m", source("grain", 1, "belt-desk"), HeadBase)
		if err != nil || got.Revision != 2 {
			t.Errorf("%s: %+v, %v; want revision 2", name, got, err)
		}
	}
}

// lossyLog is a log that loses the first appends, without effect.
type lossyLog struct {
	*standin.Log
	lose int
	ids  []string
}

func (g *lossyLog) Append(ctx context.Context, r platformlog.Record) (int64, error) {
	g.ids = append(g.ids, r.ID)
	if g.lose--; g.lose >= 0 {
		return 0, platformlog.ErrUnknownOutcome
	}
	return g.Log.Append(ctx, r)
}

// Guards against a resend with another ID after an append whose outcome is
// unknown.
func TestLostRequestIsResentWithSameID(t *testing.T) {
	g := &lossyLog{Log: standin.New(time.Now), lose: 3}
	got, err := publisher(g).Publish(testCtx, "m", source("grain", 1, "belt-desk"), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range g.ids {
		if id != got.ID {
			t.Errorf("appended with ID %s, accepted with ID %s", id, got.ID)
		}
	}
}

// Guards against an unresolved outcome that is reported as success or failure.
func TestUnresolvedPublishIsUnknown(t *testing.T) {
	log := standin.New(time.Now)
	log.SetFaults(standin.Faults{LostRequests: 1})
	_, err := publisher(log).Publish(testCtx, "m", source("grain", 1, "belt-desk"), 0)
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) || unknown.From != 1 || ResultCode(err) != resultcode.PublishUnknown {
		t.Errorf("got %v, want an UnknownOutcomeError from offset 1", err)
	}
}

// Guards against an outcome that remains unknown although another record with
// the same base was accepted, which excludes this one.
func TestUnknownAppendIsResolvedByWinner(t *testing.T) {
	inner := standin.New(time.Now)
	log := &rivalLog{Log: inner, record: manifestRecord(t, "rival", "grain", 1, 0, "belt-desk")}
	_, err := publisher(log).Publish(testCtx, "m", source("grain", 1, "belt-desk"), 0)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Winner.ID != "rival" {
		t.Errorf("got %v, want a conflict with rival", err)
	}
}

// rivalLog appends another record in place of the given one and loses the
// response.
type rivalLog struct {
	*standin.Log
	record platformlog.Record
}

func (r *rivalLog) Append(ctx context.Context, _ platformlog.Record) (int64, error) {
	_, _ = r.Log.Append(ctx, r.record)
	return 0, platformlog.ErrUnknownOutcome
}

// Guards against wrong kinds of error, which would give wrong exit codes.
func TestPublisherErrors(t *testing.T) {
	log := standin.New(time.Now)
	p := publisher(log)
	if _, err := p.Publish(testCtx, "m", source("grain", 1, "belt-desk"), 0); err != nil {
		t.Fatal(err)
	}
	_, err := p.Publish(testCtx, "m", []byte(`{"version":1}`), 0)
	wantCode(t, "bad manifest", err, resultcode.InvalidManifest)
	_, err = p.Publish(testCtx, "m", source("chairs", 1, "belt-desk"), 0)
	wantCode(t, "service of another mandate", err, resultcode.InvalidManifest)
	_, err = p.Publish(testCtx, "m", source("grain", 1, "belt-desk"), 0)
	wantCode(t, "outdated base", err, resultcode.PublishConflict)
	_, err = p.Withdraw(testCtx, "chairs", "ended", HeadBase)
	wantCode(t, "unknown mandate", err, resultcode.InvalidManifest)
	_, err = p.Withdraw(testCtx, "grain", "ended", HeadBase)
	wantCode(t, "withdraw", err, resultcode.CommandOK)
	_, err = p.Publish(testCtx, "m", source("grain", 1, "belt-desk"), HeadBase)
	wantCode(t, "publish after withdrawal", err, resultcode.PublishConflict)
	_, err = p.Publish(testCtx, "m", source("grain", 2, "belt-desk"), HeadBase)
	wantCode(t, "publish with a higher term", err, resultcode.CommandOK)
	log.SetFaults(standin.Faults{AppendsDown: true})
	_, err = p.Withdraw(testCtx, "grain", "ended", HeadBase)
	wantCode(t, "appends down", err, resultcode.LogUnavailable)
	log.SetDown(true)
	_, err = p.Withdraw(testCtx, "grain", "ended", HeadBase)
	wantCode(t, "log down", err, resultcode.LogUnavailable)
}

func wantCode(t *testing.T, name string, err error, want resultcode.Code) {
	t.Helper()
	if got := ResultCode(err); got != want {
		t.Errorf("%s: %v (%v), want %v", name, got, err, want)
	}
}

// Guards against accepting two home groups that replace the same epoch.
func TestProposeHomes(t *testing.T) {
	log := standin.New(time.Now)
	p := publisher(log)
	if _, err := p.Publish(testCtx, "m", source("grain", 1, "belt-desk", "depot"), 0); err != nil {
		t.Fatal(err)
	}
	group := func(service string, base int64, n string) fleet.HomeGroup {
		return fleet.HomeGroup{Service: service, Epoch: base, Members: []fleet.Member{{Node: n, Incarnation: 1}}}
	}
	first, err := p.ProposeHomes(testCtx, []fleet.HomeGroup{group("belt-desk", 0, "n1")})
	if err != nil || first[0].Kind != Accepted {
		t.Fatalf("first proposal: %+v, %v", first, err)
	}
	log.SetFaults(standin.Faults{LostResponses: 1})
	both, err := p.ProposeHomes(testCtx, []fleet.HomeGroup{group("belt-desk", 0, "n2"), group("depot", 0, "n2")})
	if err != nil || both[0].Kind != Conflict || both[1].Kind != Accepted || both[0].Epoch != first[0].Epoch {
		t.Errorf("second proposal: %+v, %v", both, err)
	}
}
