package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"hyssopbridge/fleet"
)

type headerLine struct {
	Type       string       `json:"type"`
	Version    int          `json:"version"`
	Service    string       `json:"service"`
	Floor      int          `json:"floor"`
	DurationMS float64      `json:"duration_ms"`
	Targets    []TargetInfo `json:"targets"`
	Nodes      []NodeInfo   `json:"nodes"`
}

type startLine struct {
	Type       string      `json:"type"`
	TMS        float64     `json:"t_ms"`
	ID         uint64      `json:"id"`
	Node       string      `json:"node"`
	Target     string      `json:"target"`
	Class      fleet.Class `json:"class"`
	Idempotent bool        `json:"idempotent"`
}

type endLine struct {
	Type      string  `json:"type"`
	TMS       float64 `json:"t_ms"`
	ID        uint64  `json:"id"`
	Outcome   string  `json:"outcome"`
	LatencyMS float64 `json:"latency_ms"`
}

type probeLine struct {
	Type      string  `json:"type"`
	TMS       float64 `json:"t_ms"`
	Node      string  `json:"node"`
	Target    string  `json:"target"`
	OK        bool    `json:"ok"`
	LatencyMS float64 `json:"latency_ms"`
}

type truthLine struct {
	Type   string  `json:"type"`
	TMS    float64 `json:"t_ms"`
	Target string  `json:"target"`
	State  string  `json:"state"`
}

// Write writes the trace in its file format.
func Write(w io.Writer, t *Trace) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(t.headerLine()); err != nil {
		return err
	}
	for i := range t.Events {
		if err := enc.Encode(t.eventLine(&t.Events[i])); err != nil {
			return err
		}
	}
	return b.Flush()
}

func (t *Trace) headerLine() headerLine {
	return headerLine{
		Type:       "header",
		Version:    Version,
		Service:    t.Service,
		Floor:      t.Floor,
		DurationMS: toMillis(t.Duration),
		Targets:    t.Targets,
		Nodes:      t.Nodes,
	}
}

func (t *Trace) eventLine(e *Event) any {
	at := toMillis(e.At)
	switch e.Kind {
	case Start:
		return startLine{"start", at, e.ID, t.Nodes[e.Node].ID, t.Targets[e.Target].ID, e.Class, e.Idempotent}
	case End:
		return endLine{"end", at, e.ID, e.Outcome.String(), toMillis(e.Latency)}
	case Probe:
		return probeLine{"probe", at, t.Nodes[e.Node].ID, t.Targets[e.Target].ID, e.OK, toMillis(e.Latency)}
	default:
		return truthLine{"truth", at, t.Targets[e.Target].ID, e.State.String()}
	}
}
