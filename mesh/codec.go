package mesh

import (
	"cmp"
	"encoding/base64"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/admission"
)

// wireStatus is the wire form of admission.Status. Times are in milliseconds.
type wireStatus struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Service string
	Phase   uint8
	Flags   uint8
	Slots   int
	Running int
	Waiting int
	TrialIn int64
	Idle    int64
	Risk    int64 // in thousandths
	// RetryCalls is in tenths.
	RetryCalls int64
	Wait       int64
	Rejects    int64 // in thousandths
}

// UnmarshalCBOR decodes a status of this or another version, see decodeArray.
func (w *wireStatus) UnmarshalCBOR(b []byte) error {
	type plain wireStatus
	return decodeArray(b, (*plain)(w))
}

// Bits of wireStatus.Flags.
const (
	flagStopping = 1 << iota
	flagEjected
	flagCold
	flagRecovering
	flagTested
	flagAdmitsRetries
	flagAdmitsUrgentRetries
)

// wireReservation is the wire form of admission.Request. Times are in
// milliseconds.
type wireReservation struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Service  string
	Zone     string
	Priority int
	Flags    uint8
	MaxWait  int64
	Overdue  int64
	MaxRisk  int64 // in thousandths
	// CalledByRetry is in thousandths.
	CalledByRetry int64
	Customer      string
	GoodWait      int64
	Weight        int64 // in thousandths
	RunTime       int64
}

// UnmarshalCBOR decodes a reservation of this or another version, see
// decodeArray.
func (w *wireReservation) UnmarshalCBOR(b []byte) error {
	type plain wireReservation
	return decodeArray(b, (*plain)(w))
}

// Bits of wireReservation.Flags.
const (
	flagIdempotent = 1 << iota
	flagLastResort
	flagAllowUntested
	flagNoRetry
	flagRetry
	flagUrgent
	flagLostPlace
)

// wireCalls is the wire form of the callStats of one called service. The numbers
// are in hundredths and in the order of the fields of callStats; symmetric ones are
// left out.
type wireCalls struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Sums    []int64
}

// heartbeat is the datagram in which a node sends its state.
type heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Flags    uint8
	Addr     string // listener for requests between nodes, IP:port
	Gossip   string // listener for datagrams, IP:port
	Zone     string
	Started  int64 // start of the process, Unix time in milliseconds
	Sequence uint64
	Version  int64 // configuration in force; 0 if none
	Status   wireStatus
	// Departures are the recent departures of the sender's host. Held are the
	// departures of the receiver's host that the sender holds; only replies
	// state them.
	Departures []Departure
	Held       []Departure
	LiveInZone int // live nodes of the sender's zone, with the sender
	FleetSize  int // nodes that the sender knows, with itself and silent ones
	// Calls are what the sender observed of the calls of its target's runs.
	Calls []wireCalls
	// StoreEra is the latest era of the store that the sender knows; 0 if none.
	StoreEra int64
}

// UnmarshalCBOR decodes a heartbeat of this or another version, see decodeArray.
func (m *heartbeat) UnmarshalCBOR(b []byte) error {
	type plain heartbeat
	return decodeArray(b, (*plain)(m))
}

// Bits of heartbeat.Flags.
const (
	flagHello        = 1 << iota // asks the receiver to send its own state
	flagConfigReader             // the sender reads the configuration from its source successfully
	flagKnewEarlier              // the sender has known an earlier process of the receiver; only replies state it
	flagStandby                  // the sender reads the configuration and sends the receiver a heartbeat every standbyHeartbeatInterval
	flagOwnsQuotas               // the sender has run long enough to own quotas of customers
)

const (
	// maxHeartbeatBytes bounds a datagram. It stays below the usual MTU.
	maxHeartbeatBytes = 1200
	// maxSharedServices bounds the called services of which other hosts are told.
	maxSharedServices = 4
)

// encode encodes the heartbeat. It leaves out calls that would make it too long.
func (m heartbeat) encode() ([]byte, error) {
	for {
		b, err := cbor.Marshal(m)
		if err != nil || len(b) <= maxHeartbeatBytes {
			return b, err
		}
		if len(m.Calls) == 0 {
			return nil, fmt.Errorf("heartbeat of %d bytes exceeds the limit of %d bytes", len(b), maxHeartbeatBytes)
		}
		m.Calls = m.Calls[:len(m.Calls)-1]
	}
}

func flagIf(set bool, flag uint8) uint8 {
	if set {
		return flag
	}
	return 0
}

func encodeStatus(s admission.Status) wireStatus {
	return wireStatus{
		Target: s.Target, Service: s.Service, Phase: uint8(s.Phase),
		Flags: flagIf(s.Stopping, flagStopping) | flagIf(s.Ejected, flagEjected) | flagIf(s.Cold, flagCold) | flagIf(s.Recovering, flagRecovering) | flagIf(s.Tested, flagTested) | flagIf(s.AdmitsRetries, flagAdmitsRetries) | flagIf(s.AdmitsUrgentRetries, flagAdmitsUrgentRetries),
		Slots: s.Slots, Running: s.Running, Waiting: s.Waiting,
		TrialIn: s.TrialIn.Milliseconds(), Idle: s.Idle.Milliseconds(),
		Risk: toThousandths(s.Risk), RetryCalls: int64(math.Round(10 * s.RetryCalls)), Wait: s.Wait.Milliseconds(),
		Rejects: toThousandths(s.Rejects),
	}
}

func decodeStatus(w wireStatus) (admission.Status, error) {
	if w.Phase > uint8(admission.Draining) || w.Slots < 0 || w.Running < 0 || w.Waiting < 0 {
		return admission.Status{}, fmt.Errorf("invalid status: phase %d, %d slots, %d running, %d waiting", w.Phase, w.Slots, w.Running, w.Waiting)
	}
	return admission.Status{
		Target: w.Target, Service: w.Service, Phase: admission.Phase(w.Phase),
		Stopping: w.Flags&flagStopping != 0, Ejected: w.Flags&flagEjected != 0, Cold: w.Flags&flagCold != 0, Recovering: w.Flags&flagRecovering != 0,
		Tested: w.Flags&flagTested != 0, AdmitsRetries: w.Flags&flagAdmitsRetries != 0, AdmitsUrgentRetries: w.Flags&flagAdmitsUrgentRetries != 0,
		Slots: w.Slots, Running: w.Running, Waiting: w.Waiting,
		TrialIn: time.Duration(w.TrialIn) * time.Millisecond,
		Idle:    time.Duration(w.Idle) * time.Millisecond,
		Risk:    float64(w.Risk) / 1000, RetryCalls: float64(w.RetryCalls) / 10,
		Wait:    time.Duration(w.Wait) * time.Millisecond,
		Rejects: min(1, max(0, float64(w.Rejects)/1000)),
	}, nil
}

// sums returns the numbers that are sent, symmetric ones once.
func (c *callStats) sums() []*float64 {
	var out []*float64
	for s := range numOrigins {
		for t := s; t < numOrigins; t++ {
			out = append(out, &c.exposure[s][t])
		}
	}
	for s := range c.finished {
		out = append(out, &c.finished[s])
	}
	for s := range c.requests {
		out = append(out, &c.requests[s])
	}
	return out
}

// mirror sets the exposures that are not sent.
func (c *callStats) mirror() {
	for s := range numOrigins {
		for t := range s {
			c.exposure[s][t] = c.exposure[t][s]
		}
	}
}

// encodeCalls encodes what is known of the services that get most requests, those
// first.
func encodeCalls(stats map[string]callStats) []wireCalls {
	names := slices.SortedFunc(maps.Keys(stats), func(a, b string) int {
		return cmp.Compare(stats[b].requests.total(), stats[a].requests.total())
	})
	var out []wireCalls
	for _, service := range names[:min(maxSharedServices, len(names))] {
		c, w := stats[service], wireCalls{Service: service}
		for _, sum := range c.sums() {
			w.Sums = append(w.Sums, int64(math.Round(100**sum)))
		}
		out = append(out, w)
	}
	return out
}

// decodeCalls takes numbers that are missing or negative as 0 and ignores others
// than those that this version knows.
func decodeCalls(list []wireCalls) map[string]callStats {
	out := map[string]callStats{}
	for _, w := range list[:min(maxSharedServices, len(list))] {
		var c callStats
		for i, sum := range c.sums() {
			if i < len(w.Sums) {
				*sum = max(0, float64(w.Sums[i])/100)
			}
		}
		c.mirror()
		out[w.Service] = c
	}
	return out
}

func encodeReservation(r admission.Request) wireReservation {
	return wireReservation{
		Target: r.Target, Service: r.Service, Zone: r.Zone, Priority: r.Priority,
		Flags:   flagIf(r.Idempotent, flagIdempotent) | flagIf(r.LastResort, flagLastResort) | flagIf(r.AllowUntested, flagAllowUntested) | flagIf(r.NoRetry, flagNoRetry) | flagIf(r.Retry, flagRetry) | flagIf(r.Urgent, flagUrgent) | flagIf(r.LostPlace, flagLostPlace),
		MaxWait: r.MaxWait.Milliseconds(), Overdue: r.OverdueAfter.Milliseconds(),
		MaxRisk: toThousandths(r.MaxRisk), CalledByRetry: toThousandths(r.CalledByRetry), Customer: r.Customer,
		GoodWait: r.GoodWait.Milliseconds(), Weight: toThousandths(r.Weight), RunTime: r.RunTime.Milliseconds(),
	}
}

func decodeReservation(w wireReservation) admission.Request {
	return admission.Request{
		Target: w.Target, Service: w.Service, Zone: w.Zone, Priority: w.Priority,
		Idempotent: w.Flags&flagIdempotent != 0, LastResort: w.Flags&flagLastResort != 0,
		AllowUntested: w.Flags&flagAllowUntested != 0, NoRetry: w.Flags&flagNoRetry != 0, Retry: w.Flags&flagRetry != 0, Urgent: w.Flags&flagUrgent != 0, LostPlace: w.Flags&flagLostPlace != 0,
		MaxWait: time.Duration(w.MaxWait) * time.Millisecond, OverdueAfter: time.Duration(w.Overdue) * time.Millisecond,
		MaxRisk: float64(w.MaxRisk) / 1000, CalledByRetry: float64(w.CalledByRetry) / 1000, Customer: w.Customer,
		GoodWait: time.Duration(w.GoodWait) * time.Millisecond, Weight: float64(w.Weight) / 1000, RunTime: time.Duration(w.RunTime) * time.Millisecond,
	}
}

// minArrayFields is the number of fields that each wire type above had in its
// first version or more.
const minArrayFields = 9

// decodeArray decodes a CBOR array into a struct whose fields are array elements.
// While nodes are replaced by those of another version, both must understand
// each other: new fields are appended only, a missing one is zero and an unknown
// one is ignored.
func decodeArray[T any](b []byte, v *T) error {
	err := cbor.Unmarshal(b, v)
	if err == nil {
		return nil
	}
	var got, want []cbor.RawMessage
	if cbor.Unmarshal(b, &got) != nil || len(got) < minArrayFields {
		return err
	}
	var zero T
	template, err := cbor.Marshal(zero)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(template, &want); err != nil {
		return err
	}
	copy(want, got)
	if b, err = cbor.Marshal(want); err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}

func toThousandths(fraction float64) int64 { return int64(math.Round(fraction * 1000)) }

// encodeField encodes v for a header field.
func encodeField(v any) string {
	b, err := cbor.Marshal(v)
	if err != nil {
		// The wire types above can always be encoded.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// decodeField decodes a header field into v.
func decodeField(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
