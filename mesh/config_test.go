package mesh

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"hyssopbridge/admission"
	"hyssopbridge/internal/testutil"
)

// Guards against nodes that miss a configuration while they cannot reach its
// source, and against a node that reverts to an older one.
func TestConfigFromPeers(t *testing.T) {
	a, b, c := startNode(t, nil), startNode(t, nil), startNode(t, nil)
	connectNodes(t, a, b, c)
	setConfig(t, "5", a)
	for _, n := range []*Node{b, c} {
		testutil.Eventually(t, "version 5 is in force", func() bool { return n.Config() != nil && n.Config().Version == 5 })
	}
	if err := b.SetConfig([]byte("4"), "test"); err != nil || b.Config().Version != 5 {
		t.Errorf("version %d in force after an older one, error %v", b.Config().Version, err)
	}
	if err := b.SetConfig([]byte("invalid"), "test"); err == nil || b.Config().Version != 5 {
		t.Errorf("version %d in force after an invalid one, error %v", b.Config().Version, err)
	}
	if c, ok := b.metrics.registry.Get(metricConfigsRefused).(gometrics.Counter); !ok || c.Count() != 1 {
		t.Error("the refused configuration is not counted, so no operator is told of it")
	}
}

// Guards against a restarted node that knows no peers although they know it.
func TestRestartedNodeRediscoversPeers(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	connectNodes(t, a, b)
	old := b.cfg
	b.cancel()
	b.nodeServer.http.Close()
	b.callerServer.listener.Close()
	time.Sleep(5 * time.Millisecond)
	again := New(old)
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { again.cancel(); again.nodeServer.http.Close(); again.callerServer.listener.Close() })
	testutil.Eventually(t, "the restarted node knows its peer", func() bool { return again.peers.maxFleetSize() == 2 })
}

// Guards against heartbeats of an earlier process or an earlier state that
// replace newer ones, and against a node that stays unknown after its clock was
// set back.
func TestStaleHeartbeats(t *testing.T) {
	known := &peer{last: heartbeat{Started: 1000, Sequence: 5}, lastHeard: 10 * time.Second}
	for _, c := range []struct {
		started  int64
		sequence uint64
		silent   time.Duration
		older    bool
	}{
		{1000, 5, 0, true}, {1000, 4, 0, true}, {1000, 6, 0, false},
		{2000, 1, 0, false}, {500, 9, 0, true}, {500, 9, 5 * time.Second, false},
	} {
		msg := heartbeat{Started: c.started, Sequence: c.sequence}
		if got := isStale(msg, known, known.lastHeard+c.silent); got != c.older {
			t.Errorf("%+v: stale %v", c, got)
		}
	}
}

// Guards against zones in which no node, or every node, reads the configuration
// from its source, and against nodes that resume reading from a source they
// cannot reach.
func TestConfigReaders(t *testing.T) {
	var nodes []*Node
	for range 5 {
		nodes = append(nodes, startNode(t, nil))
	}
	connectNodes(t, nodes...)
	for _, n := range nodes {
		setConfig(t, "1", n)
		n.SetConfigReader(true)
		n.peers.announce(allZones)
	}
	count := func() int {
		readers := 0
		for _, n := range nodes {
			if n.ShouldReadConfig() {
				readers++
			}
		}
		return readers
	}
	testutil.Eventually(t, "two nodes of the zone are config readers", func() bool { return count() == readersPerZone })
	lost := map[*Node]bool{}
	for _, n := range nodes {
		if n.ShouldReadConfig() {
			lost[n] = true
			n.SetConfigReader(false) // as when it cannot reach the source
			n.peers.announce(allZones)
		}
	}
	testutil.Eventually(t, "as many other nodes are config readers", func() bool {
		for n := range lost {
			if n.ShouldReadConfig() {
				return false
			}
		}
		return count() == readersPerZone
	})
}

// Guards against a joining node that displaces a config reader because of its
// lower address, which would cost a listing of the store for each node that
// starts.
func TestConfigReadersAreStable(t *testing.T) {
	var nodes []*Node
	for range 4 {
		nodes = append(nodes, startNode(t, nil))
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return strings.Compare(b.cfg.NodeAddr, a.cfg.NodeAddr) })
	connectNodes(t, nodes...)
	for _, n := range nodes[:readersPerZone] { // those with the highest addresses
		n.SetConfigReader(true)
		n.peers.announce(allZones)
	}
	for _, n := range nodes[readersPerZone:] {
		testutil.Eventually(t, "a joining node does not become a config reader", func() bool { return !n.ShouldReadConfig() })
	}
	for _, n := range nodes[:readersPerZone] {
		if !n.ShouldReadConfig() {
			t.Error("a config reader was displaced by a node that is none")
		}
	}
}

// Guards against more nodes reading the configuration from its source than
// needed: with readers in three zones, one in each is enough.
func TestOneConfigReaderPerZone(t *testing.T) {
	var nodes []*Node
	for i := range 6 {
		nodes = append(nodes, startNodeIn(t, fmt.Sprint("z", i/2), nil))
	}
	connectNodes(t, nodes...)
	for _, n := range nodes {
		n.SetConfigReader(true)
		n.peers.announce(allZones)
	}
	testutil.Eventually(t, "one node of each zone is a config reader", func() bool {
		for i := 0; i < len(nodes); i += 2 {
			if nodes[i].ShouldReadConfig() == nodes[i+1].ShouldReadConfig() {
				return false
			}
		}
		return true
	})
}

// Guards against a configuration that is transferred between zones once for
// each node, and against a zone that stays behind because none of its nodes has
// it.
func TestConfigPrefersOwnZone(t *testing.T) {
	source := startNodeIn(t, "z0", nil)
	a, b := startNodeIn(t, "z1", nil), startNodeIn(t, "z1", nil)
	connectNodes(t, source, a, b)
	setConfig(t, "1", source, a, b)
	source.SetConfigReader(true)
	setConfig(t, "2", source)
	testutil.Eventually(t, "the other zone has version 2", func() bool {
		return a.Config().Version == 2 && b.Config().Version == 2
	})
	fetched := 0
	for _, n := range []*Node{a, b} {
		if c, ok := n.metrics.registry.Get(metricCrossZoneFetches).(gometrics.Counter); ok && c.Count() > 0 {
			fetched++
		}
	}
	if fetched != 1 {
		t.Errorf("%d nodes fetched version 2 from the other zone, want 1", fetched)
	}
}

// Guards against fields that are lost between nodes and heartbeats that exceed
// the size limit.
func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 100_000).Draw(t, name)) * time.Millisecond
		}
		s := admission.Status{
			Target: rapid.StringN(0, 40, 80).Draw(t, "target"), Service: rapid.StringN(0, 40, 80).Draw(t, "service"),
			Phase:    admission.Phase(rapid.IntRange(0, 2).Draw(t, "phase")),
			Stopping: rapid.Bool().Draw(t, "stopping"), Ejected: rapid.Bool().Draw(t, "ejected"), Cold: rapid.Bool().Draw(t, "cold"),
			Slots: rapid.IntRange(0, 10_000).Draw(t, "slots"), Running: rapid.IntRange(0, 10_000).Draw(t, "running"),
			Waiting: rapid.IntRange(0, 10_000).Draw(t, "waiting"), TrialIn: millis("trial"), Wait: millis("expected wait"),
			Recovering:    rapid.Bool().Draw(t, "returning"),
			AdmitsRetries: rapid.Bool().Draw(t, "admits retries"), AdmitsUrgentRetries: rapid.Bool().Draw(t, "admits urgent retries"), Risk: float64(rapid.IntRange(0, 1000).Draw(t, "risk")) / 1000,
			RetryCalls: float64(rapid.IntRange(0, 100_000).Draw(t, "retry calls")) / 10, Rejects: float64(rapid.IntRange(0, 1000).Draw(t, "rejects")) / 1000,
		}
		var wire wireStatus
		if err := decodeField(encodeField(encodeStatus(s)), &wire); err != nil {
			t.Fatal(err)
		}
		if got, err := decodeStatus(wire); got != s || err != nil {
			t.Fatalf("got %+v, %v, want %+v", got, err, s)
		}
		departures := slices.Repeat([]Departure{{Target: strings.Repeat("t", MaxDepartureTargetBytes), Born: math.MaxInt64, At: math.MaxInt64}}, maxDepartures)
		b, err := cbor.Marshal(heartbeat{
			Addr: "255.255.255.255:65535", Gossip: "255.255.255.255:65535", Zone: "zone", Status: encodeStatus(s),
			Departures: departures, Held: departures, StoreEra: math.MaxInt64,
		})
		if err != nil || len(b) > maxHeartbeatBytes {
			t.Fatalf("heartbeat of %d bytes, error %v", len(b), err)
		}
		calls := drawCalls(t)
		var wireCalls []wireCalls
		if err := decodeField(encodeField(encodeCalls(calls)), &wireCalls); err != nil {
			t.Fatal(err)
		}
		if got := decodeCalls(wireCalls); !reflect.DeepEqual(got, calls) {
			t.Fatalf("got %+v, want %+v", got, calls)
		}
		r := admission.Request{
			Target: s.Target, Service: s.Service, Zone: "z", Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxRisk: float64(rapid.IntRange(0, 1000).Draw(t, "risk")) / 1000,
			AllowUntested: rapid.Bool().Draw(t, "allow untested"), LastResort: rapid.Bool().Draw(t, "last resort"),
			Retry: rapid.Bool().Draw(t, "retry"), CalledByRetry: float64(rapid.IntRange(0, 1000).Draw(t, "called by retry")) / 1000,
			NoRetry: rapid.Bool().Draw(t, "no retry"), Urgent: rapid.Bool().Draw(t, "urgent"), MaxWait: millis("wait"), GoodWait: millis("good wait"), RunTime: millis("run time"), LostPlace: rapid.Bool().Draw(t, "lost place"),
			Customer: rapid.StringN(0, 40, 80).Draw(t, "customer"), Weight: float64(rapid.IntRange(0, 1000).Draw(t, "weight")) / 1000,
		}
		var reserve wireReservation
		if err := decodeField(encodeField(encodeReservation(r)), &reserve); err != nil {
			t.Fatal(err)
		}
		if got := decodeReservation(reserve); got != r {
			t.Fatalf("got %+v, want %+v", got, r)
		}
	})
}

// Guards against nodes that count as lost because what they tell of their calls
// makes their heartbeats too long.
func TestLongHeartbeatLeavesOutCalls(t *testing.T) {
	long := strings.Repeat("s", 80)
	departures := slices.Repeat([]Departure{{Target: strings.Repeat("t", MaxDepartureTargetBytes), Born: math.MaxInt64, At: math.MaxInt64}}, maxDepartures)
	stats := map[string]callStats{}
	for i := range maxSharedServices {
		var c callStats
		for _, sum := range c.sums() {
			*sum = float64(100_000 * (i + 1))
		}
		stats[fmt.Sprint(i, long)] = c
	}
	msg := heartbeat{
		Addr: "255.255.255.255:65535", Gossip: "255.255.255.255:65535", Zone: "zone", Status: encodeStatus(admission.Status{Target: long, Service: long}),
		Departures: departures, Held: departures, Calls: encodeCalls(stats), StoreEra: math.MaxInt64,
	}
	if b, err := cbor.Marshal(msg); err != nil || len(b) <= maxHeartbeatBytes {
		t.Fatalf("nothing has to be left out of %d bytes, error %v", len(b), err)
	}
	b, err := msg.encode()
	var got heartbeat
	if err != nil || len(b) > maxHeartbeatBytes || cbor.Unmarshal(b, &got) != nil {
		t.Fatalf("heartbeat of %d bytes, error %v", len(b), err)
	}
	most := fmt.Sprint(maxSharedServices-1, long)
	if len(got.Held) != maxDepartures || len(got.Calls) == 0 || got.Calls[0].Service != most {
		t.Errorf("%d departures and calls to %d services are sent, want all departures and the service with most calls first", len(got.Held), len(got.Calls))
	}
}

// drawCalls draws what a host observed of calls to as many services as it shares.
func drawCalls(t *rapid.T) map[string]callStats {
	out := map[string]callStats{}
	for range maxSharedServices {
		var c callStats
		for _, sum := range c.sums() {
			*sum = float64(rapid.IntRange(0, 1_000_000).Draw(t, "sum")) / 100
		}
		c.mirror()
		out[rapid.StringN(0, 40, 80).Draw(t, "called service")] = c
	}
	return out
}

// Guards against nodes that ignore each other while two versions run side by side,
// of which one has fewer fields, and against messages cut to less than any version
// sends.
func TestMessagesOfOtherVersions(t *testing.T) {
	status := encodeStatus(admission.Status{Target: "t", Service: "s", Phase: admission.Serving, Slots: 4, Running: 1, Risk: 0.25})
	for _, test := range []struct {
		sent, got any
		fields    int
	}{
		{status, &wireStatus{}, 13},
		{encodeReservation(admission.Request{Target: "t", Service: "s", MaxWait: time.Second}), &wireReservation{}, 13},
		{heartbeat{Addr: "a", Gossip: "g", Started: 1, Status: status}, &heartbeat{}, 14},
	} {
		b, err := cbor.Marshal(test.sent)
		if err != nil {
			t.Fatal(err)
		}
		var fields []cbor.RawMessage
		if err := cbor.Unmarshal(b, &fields); err != nil || len(fields) != test.fields {
			t.Fatalf("%T: %d fields, want %d, error %v", test.sent, len(fields), test.fields, err)
		}
		more := append(slices.Clone(fields), cbor.RawMessage("\x63new"), cbor.RawMessage("\x80"))
		for n := range len(more) + 1 {
			b, err := cbor.Marshal(more[:n])
			if err != nil {
				t.Fatal(err)
			}
			err = cbor.Unmarshal(b, test.got)
			if (err == nil) != (n >= minArrayFields) {
				t.Fatalf("%T with %d fields: error %v", test.sent, n, err)
			}
			// The fields that are set above are among the first minArrayFields.
			if got := reflect.ValueOf(test.got).Elem().Interface(); err == nil && n != minArrayFields && !reflect.DeepEqual(got, test.sent) {
				t.Errorf("%T with %d fields: got %+v, want %+v", test.sent, n, got, test.sent)
			}
		}
	}
}

func FuzzHeartbeat(f *testing.F) {
	b, err := cbor.Marshal(heartbeat{Addr: "127.0.0.1:1", Gossip: "127.0.0.1:2", Started: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var msg heartbeat
		if cbor.Unmarshal(b, &msg) == nil {
			_, _ = decodeStatus(msg.Status)
			for _, stats := range decodeCalls(msg.Calls) {
				if share := stats.retryShare([numSources]float64{1, 1}, [numSources]float64{1, 0}); !(share >= 0 && share <= 1) {
					t.Fatalf("share %v from %+v", share, stats)
				}
			}
		}
	})
}
