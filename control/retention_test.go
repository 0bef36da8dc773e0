package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

// restored folds the retained log into an empty state.
func (f *fakeFleet) restored() (*State, error) {
	fold := &logFold{log: f.log, state: NewState(nil)}
	err := fold.toHead(testCtx, nil)
	return fold.state, err
}

// Guards against a log that no longer suffices to restore the state, while
// records expire, checkpoint appends fail or lose their answers, hosts are
// replaced all the time, and then nothing changes for three retention times.
func TestCheckpointsKeepTheLogSufficient(t *testing.T) {
	f := newFakeFleet(t, 4, 7)
	f.loseAnswers = true
	publishUntil, end := 6*f.retention, 9*f.retention
	for i := 0; time.Duration(i)*tick < end; i++ {
		at := time.Duration(i) * tick
		if at < publishUntil && i%70 == 0 {
			mandate := fmt.Sprintf("m%d", i/70%6)
			base := f.log.model.mandates[mandate].revision
			f.log.append(manifestRecord(t, fmt.Sprintf("r%d", i), mandate, 1, base, mandate+"-desk"))
		}
		if i%600 == 599 {
			f.replace(f.nodes[i/600%len(f.nodes)])
		}
		f.appendsDown = i%13 < 6
		f.log.expireBefore(f.clock.now().Add(-f.retention))
		f.step()
		if i%20 != 0 {
			continue
		}
		s, err := f.restored()
		if err != nil || s.snap.Digest != f.log.ref.snap.Digest {
			t.Fatalf("after %v, log from %d to %d: restored version %d, %v", at, f.log.first, f.log.head(), s.Version(), err)
		}
	}
	if f.log.first < 2 || len(f.log.rounds) < 8 {
		t.Fatalf("the log begins at %d and holds %d rounds: nothing was tested", f.log.first, len(f.log.rounds))
	}
}

// checkpointOf returns the records of a round of a state.
func checkpointOf(t testing.TB, s *State, round string) []platformlog.Record {
	u, _ := s.Since(0)
	var out []platformlog.Record
	for _, part := range u.Split(1) {
		out = append(out, encoded(t, &Record{
			Kind: KindCheckpoint, ID: fmt.Sprintf("%s/%d", round, part.Part),
			Checkpoint: &CheckpointPart{Round: round, Part: part},
		}))
	}
	return out
}

// Guards against a slow checkpoint writer that brings back a mandate whose
// withdrawal has expired, and against a round with a missing part.
func TestSlowCheckpointWriterIsIgnored(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	f.log.append(manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	f.log.append(manifestRecord(t, "b1", "chairs", 1, 0, "reserve"))
	slow := checkpointOf(t, NewState(f.log.ref.Snapshot()), "slow")
	f.log.append(withdrawRecord(t, "a2", "grain", 1, 1))
	for _, r := range slow {
		f.log.append(r)
	}
	f.log.first = 4
	if s, err := f.restored(); !errors.Is(err, ErrNoCheckpoint) || s.Version() != 0 {
		t.Errorf("slow round: version %d, %v; want 0 and ErrNoCheckpoint", s.Version(), err)
	}
	whole := checkpointOf(t, NewState(f.log.ref.Snapshot()), "whole")
	f.log.append(whole[0])
	if s, err := f.restored(); !errors.Is(err, ErrNoCheckpoint) || s.Version() != 0 {
		t.Errorf("unfinished round: version %d, %v; want 0 and ErrNoCheckpoint", s.Version(), err)
	}
	f.log.append(whole[1])
	s, err := f.restored()
	if err != nil || s.snap.Digest != f.log.ref.snap.Digest || s.Version() != f.log.head() {
		t.Errorf("whole round: version %d, %v; want the state of %d", s.Version(), err, f.log.head())
	}
}

// Guards against a node that stays away from the log after a peer has brought
// it past the expired records.
func TestPeerUpdateEndsScan(t *testing.T) {
	f := newFolder(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	c := NewController(Config{Self: node("n1"), JoinWait: -1})
	c.Tick(epoch)
	c.ReadFailed(epoch, 1, &platformlog.ExpiredError{From: 1, First: 2})
	if r := c.TakeOutput().Read; r == nil || r.From != 2 {
		t.Fatalf("read %+v, want a scan from 2", r)
	}
	c.LogEntries(epoch, 2, nil)
	if c.Joined() || c.Version() != 0 {
		t.Fatal("joined without state")
	}
	c.TakeOutput()
	c.UpdateReceived(epoch, "n2", f.state.Snapshot().StateResponse(0))
	c.LogEntries(epoch, 2, nil)
	c.Tick(epoch.Add(time.Second))
	c.LogEntries(epoch.Add(time.Second), 2, nil)
	if !c.Joined() || c.Progress(epoch.Add(time.Second)).Offset != 1 {
		t.Error("the node does not follow the log again")
	}
}

// Guards against a new node that serves the state of the first peer, which may
// be behind, while the log is down for the whole test.
func TestNewNodeWaitsForThreePeers(t *testing.T) {
	f := newFolder(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	behind := f.state.Snapshot()
	f.want(Accepted, withdrawRecord(t, "a2", "grain", 1, 1))
	c := NewController(Config{Self: node("n0")})
	c.NodesChanged(epoch, []fleet.Node{node("n1"), node("n2"), node("n3"), node("n4"), node("n5")})
	first := oneAsk(t, c, 0)
	c.PeerFailed(epoch, first)
	second := oneAsk(t, c, 0)
	c.UpdateReceived(epoch, second, behind.StateResponse(0))
	out := c.TakeOutput()
	if out.Snapshot != nil || c.Joined() || len(out.StateRequests) != 2 {
		t.Fatalf("after one answer: joined %v, asked %d more, want 2", c.Joined(), len(out.StateRequests))
	}
	c.UpdateReceived(epoch, out.StateRequests[0].Node, f.state.Snapshot().StateResponse(out.StateRequests[0].Since))
	if c.Joined() {
		t.Fatal("joined after two answers")
	}
	c.UpdateReceived(epoch, out.StateRequests[1].Node, behind.StateResponse(out.StateRequests[1].Since))
	if s := c.TakeOutput().Snapshot; s == nil || s.Version != 2 {
		t.Errorf("snapshot %+v, want version 2", s)
	}
}

// oneAsk returns the only peer that is asked.
func oneAsk(t *testing.T, c *Controller, since int64) string {
	t.Helper()
	asks := c.TakeOutput().StateRequests
	if len(asks) != 1 || asks[0].Since != since {
		t.Fatalf("asked %+v, want one question since %d", asks, since)
	}
	return asks[0].Node
}

// Guards against nodes that all read the log, and against nodes that wait when
// every reader has fallen silent.
func TestFewNodesReadTheLog(t *testing.T) {
	f := newFakeFleet(t, 8, 3)
	f.log.append(manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	f.agree(agreeTicks)
	reads := f.countReads(600)
	readers := 0
	for i, n := range f.nodes {
		if n.core.IsReader() {
			readers++
		} else if reads[i] > 20 {
			t.Errorf("%s reads %d times a minute, want about 12", f.name(i), reads[i])
		}
	}
	if readers != 2 {
		t.Errorf("%d readers, want 2", readers)
	}
	for _, n := range f.nodes {
		n.paused = n.core.IsReader()
	}
	f.run(40)
	f.log.append(withdrawRecord(t, "a2", "grain", 1, 1))
	f.run(20)
	for i, n := range f.nodes {
		if !n.paused && f.version(n) < 2 {
			t.Errorf("%s has not read past its silent readers", f.name(i))
		}
	}
}

func (f *fakeFleet) countReads(ticks int) []int {
	before := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		before[i] = n.reads
	}
	f.run(ticks)
	for i, n := range f.nodes {
		before[i] = n.reads - before[i]
	}
	return before
}
