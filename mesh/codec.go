package mesh

import (
	"encoding/base64"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/admission"
)

// wireStatus is admission.Status between nodes. Times are in milliseconds.
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
}

// Bits of wireStatus.Flags.
const (
	flagStopping = 1 << iota
	flagGray
	flagCold
	flagReturning
	flagTested
	flagHasRoom
	flagHasCallRoom
)

// wireReserve is admission.Request between nodes. Times are in milliseconds.
type wireReserve struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Service  string
	Zone     string
	Priority int
	Flags    uint8
	MaxWait  int64
	Overdue  int64
	MaxRisk  int64 // in thousandths
	// CallOfRepeat is in thousandths.
	CallOfRepeat int64
}

// Bits of wireReserve.Flags.
const (
	flagIdempotent = 1 << iota
	flagForced
	flagUntested
	flagCareful
	flagAgain
)

// message is the datagram by which a node tells its state.
type message struct {
	_        struct{} `cbor:",toarray"`
	Flags    uint8
	Addr     string // listener for requests between nodes, IP:port
	Gossip   string // listener for datagrams, IP:port
	Zone     string
	Started  int64 // start of the process, Unix time in milliseconds
	Sequence uint64
	Version  int64 // configuration in force; 0 if none
	Status   wireStatus
}

// Bits of message.Flags.
const (
	flagHello  = 1 << iota // the receiver answers with its own state
	flagReader             // the sender reads the configuration at its source, and that works
)

// maxMessageBytes bounds a datagram. It stays below the usual MTU.
const maxMessageBytes = 1200

func bit(on bool, flag uint8) uint8 {
	if on {
		return flag
	}
	return 0
}

func encodeStatus(s admission.Status) wireStatus {
	return wireStatus{
		Target: s.Target, Service: s.Service, Phase: uint8(s.Phase),
		Flags: bit(s.Stopping, flagStopping) | bit(s.Ejected, flagGray) | bit(s.Cold, flagCold) | bit(s.Recovering, flagReturning) | bit(s.Tested, flagTested) | bit(s.AdmitsRetries, flagHasRoom) | bit(s.AdmitsRetryCalls, flagHasCallRoom),
		Slots: s.Slots, Running: s.Running, Waiting: s.Waiting,
		TrialIn: s.TrialIn.Milliseconds(), Idle: s.Idle.Milliseconds(),
		Risk: thousandths(s.Risk),
	}
}

func decodeStatus(w wireStatus) (admission.Status, error) {
	if w.Phase > uint8(admission.Draining) || w.Slots < 0 || w.Running < 0 || w.Waiting < 0 {
		return admission.Status{}, fmt.Errorf("status with phase %d, %d slots, %d running, %d waiting", w.Phase, w.Slots, w.Running, w.Waiting)
	}
	return admission.Status{
		Target: w.Target, Service: w.Service, Phase: admission.Phase(w.Phase),
		Stopping: w.Flags&flagStopping != 0, Ejected: w.Flags&flagGray != 0, Cold: w.Flags&flagCold != 0, Recovering: w.Flags&flagReturning != 0,
		Tested: w.Flags&flagTested != 0, AdmitsRetries: w.Flags&flagHasRoom != 0, AdmitsRetryCalls: w.Flags&flagHasCallRoom != 0,
		Slots: w.Slots, Running: w.Running, Waiting: w.Waiting,
		TrialIn: time.Duration(w.TrialIn) * time.Millisecond,
		Idle:    time.Duration(w.Idle) * time.Millisecond,
		Risk:    float64(w.Risk) / 1000,
	}, nil
}

func encodeReserve(r admission.Request) wireReserve {
	return wireReserve{
		Target: r.Target, Service: r.Service, Zone: r.Zone, Priority: r.Priority,
		Flags:   bit(r.Idempotent, flagIdempotent) | bit(r.LastResort, flagForced) | bit(r.AllowUntested, flagUntested) | bit(r.NoRetry, flagCareful) | bit(r.Retry, flagAgain),
		MaxWait: r.MaxWait.Milliseconds(), Overdue: r.OverdueAfter.Milliseconds(),
		MaxRisk: thousandths(r.MaxRisk), CallOfRepeat: thousandths(r.CalledByRetry),
	}
}

func decodeReserve(w wireReserve) admission.Request {
	return admission.Request{
		Target: w.Target, Service: w.Service, Zone: w.Zone, Priority: w.Priority,
		Idempotent: w.Flags&flagIdempotent != 0, LastResort: w.Flags&flagForced != 0,
		AllowUntested: w.Flags&flagUntested != 0, NoRetry: w.Flags&flagCareful != 0, Retry: w.Flags&flagAgain != 0,
		MaxWait: time.Duration(w.MaxWait) * time.Millisecond, OverdueAfter: time.Duration(w.Overdue) * time.Millisecond,
		MaxRisk: float64(w.MaxRisk) / 1000, CalledByRetry: float64(w.CallOfRepeat) / 1000,
	}
}

func thousandths(part float64) int64 { return int64(math.Round(part * 1000)) }

// toField encodes v for a header field.
func toField(v any) string {
	b, err := cbor.Marshal(v)
	if err != nil {
		// The types above always encode.
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

// fromField decodes a header field into v.
func fromField(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
