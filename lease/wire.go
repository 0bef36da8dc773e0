package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/fleet"
)

// wireMessage is the encoded form of Message. It is an array, which takes about
// half the bytes of a map with field names. Renewals are most of the control
// traffic of a small fleet.
type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation int64
	To          string
	Asks        []wireAsk
	AskedAt     time.Duration
	Answers     []wireAnswer
	AnswerTo    int64
	AnswerAt    time.Duration
}

type wireAsk struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Epoch   int64
}

type wireAnswer struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Epoch   int64
	Active  int64
}

// MarshalCBOR implements cbor.Marshaler.
func (m Message) MarshalCBOR() ([]byte, error) {
	w := wireMessage{
		Node: m.From.Node, Incarnation: m.From.Incarnation, To: m.To,
		AskedAt: m.AskedAt, AnswerTo: m.AnswerTo, AnswerAt: m.AnswerAt,
	}
	for _, a := range m.Asks {
		w.Asks = append(w.Asks, wireAsk{Service: a.Service, Epoch: a.Epoch})
	}
	for _, a := range m.Answers {
		w.Answers = append(w.Answers, wireAnswer{Service: a.Service, Epoch: a.Epoch, Active: a.Active})
	}
	return cbor.Marshal(w)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (m *Message) UnmarshalCBOR(data []byte) error {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = Message{
		From: fleet.Member{Node: w.Node, Incarnation: w.Incarnation}, To: w.To,
		AskedAt: w.AskedAt, AnswerTo: w.AnswerTo, AnswerAt: w.AnswerAt,
	}
	for _, a := range w.Asks {
		m.Asks = append(m.Asks, Ask{Service: a.Service, Epoch: a.Epoch})
	}
	for _, a := range w.Answers {
		m.Answers = append(m.Answers, Answer{Service: a.Service, Epoch: a.Epoch, Active: a.Active})
	}
	return nil
}
