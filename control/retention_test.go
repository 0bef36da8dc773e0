package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
)

// restoreFromLog folds the retained log into an empty state.
func (f *fakeFleet) restoreFromLog() (*State, error) {
	fold := &logFold{log: f.log, state: NewState(nil)}
	err := fold.foldToHead(testCtx, nil)
	return fold.state, err
}

// Guards against a log from which the state can no longer be restored. Records
// expire, checkpoint appends fail or lose their responses, and hosts are
// replaced throughout; manifests change for six retention times, and then
// nothing changes for three.
func TestCheckpointsKeepLogRestorable(t *testing.T) {
	f := newFakeFleet(t, 4, 7)
	f.loseResponses = true
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
		s, err := f.restoreFromLog()
		if err != nil || s.snap.Digest != f.log.ref.snap.Digest {
			t.Fatalf("after %v, log from %d to %d: restored version %d, %v", at, f.log.first, f.log.head(), s.Version(), err)
		}
	}
	if f.log.first < 2 || len(f.log.rounds) < 8 {
		t.Fatalf("the log starts at %d and has had %d rounds: too few expired records or rounds for this test", f.log.first, len(f.log.rounds))
	}
}

// checkpointOf returns the records of a checkpoint round for a state.
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

// Guards against use of a slow writer's checkpoint round, which would restore a
// mandate whose withdrawal has expired, and of a round with a missing part.
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
	if s, err := f.restoreFromLog(); !errors.Is(err, ErrNoCheckpoint) || s.Version() != 0 {
		t.Errorf("slow round: version %d, %v; want 0 and ErrNoCheckpoint", s.Version(), err)
	}
	whole := checkpointOf(t, NewState(f.log.ref.Snapshot()), "whole")
	f.log.append(whole[0])
	if s, err := f.restoreFromLog(); !errors.Is(err, ErrNoCheckpoint) || s.Version() != 0 {
		t.Errorf("incomplete round: version %d, %v; want 0 and ErrNoCheckpoint", s.Version(), err)
	}
	f.log.append(whole[1])
	s, err := f.restoreFromLog()
	if err != nil || s.snap.Digest != f.log.ref.snap.Digest || s.Version() != f.log.head() {
		t.Errorf("complete round: version %d, %v; want the state of version %d", s.Version(), err, f.log.head())
	}
}

// Guards against a node that does not resume reading the log after a peer's
// update has taken it past the expired records.
func TestPeerUpdateEndsScan(t *testing.T) {
	f := newStateFixture(t)
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
		t.Error("the node does not resume following the log")
	}
}

// Guards against a new node that serves the state of the first peer that
// responds, which may be behind. The node cannot read the log here.
func TestNewNodeWaitsForThreePeers(t *testing.T) {
	f := newStateFixture(t)
	f.want(Accepted, manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	behind := f.state.Snapshot()
	f.want(Accepted, withdrawRecord(t, "a2", "grain", 1, 1))
	c := NewController(Config{Self: node("n0")})
	c.NodesChanged(epoch, []fleet.Node{node("n1"), node("n2"), node("n3"), node("n4"), node("n5")})
	first := wantOneRequest(t, c, 0)
	c.PeerFailed(epoch, first)
	second := wantOneRequest(t, c, 0)
	c.UpdateReceived(epoch, second, behind.StateResponse(0))
	out := c.TakeOutput()
	if out.Snapshot != nil || c.Joined() || len(out.StateRequests) != 2 {
		t.Fatalf("after one response: joined %v, %d more requests, want 2", c.Joined(), len(out.StateRequests))
	}
	c.UpdateReceived(epoch, out.StateRequests[0].Node, f.state.Snapshot().StateResponse(out.StateRequests[0].Since))
	if c.Joined() {
		t.Fatal("joined after two responses")
	}
	c.UpdateReceived(epoch, out.StateRequests[1].Node, behind.StateResponse(out.StateRequests[1].Since))
	if s := c.TakeOutput().Snapshot; s == nil || s.Version != 2 {
		t.Errorf("snapshot %+v, want version 2", s)
	}
}

// wantOneRequest checks that there is one state request and returns its peer.
func wantOneRequest(t *testing.T, c *Controller, since int64) string {
	t.Helper()
	requests := c.TakeOutput().StateRequests
	if len(requests) != 1 || requests[0].Since != since {
		t.Fatalf("state requests %+v, want one since version %d", requests, since)
	}
	return requests[0].Node
}

// Guards against nodes that all read the log at the readers' rate, and against
// nodes that do not read it when all readers have stopped.
func TestOnlyReadersPollLog(t *testing.T) {
	f := newFakeFleet(t, 8, 3)
	f.log.append(manifestRecord(t, "a1", "grain", 1, 0, "belt-desk"))
	f.converge(convergeTicks)
	reads := f.countReads(600)
	readers := 0
	for i, n := range f.nodes {
		if n.controller.IsReader() {
			readers++
		} else if reads[i] > 20 {
			t.Errorf("%s reads %d times a minute, want about 12", f.name(i), reads[i])
		}
	}
	if readers != 2 {
		t.Errorf("%d readers, want 2", readers)
	}
	for _, n := range f.nodes {
		n.paused = n.controller.IsReader()
	}
	f.run(40)
	f.log.append(withdrawRecord(t, "a2", "grain", 1, 1))
	f.run(20)
	for i, n := range f.nodes {
		if !n.paused && f.version(n) < 2 {
			t.Errorf("%s has not read the log while its readers are paused", f.name(i))
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
