package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The cases 11 and 12: an instance sends a second copy of an answer late, and the
// copy breaks off in its head. The next answer on the connection follows at once.

const (
	extraBytesLoad = 15 * time.Second
	garbleAfter    = 4 * time.Second // from the begin of the load
	garbleLength   = 5 * time.Second

	refusedEvery = 8  // one order in so many is refused by the faulty instance, all the time
	failedEvery  = 83 // one in so many fails there: 1.2%
)

func init() {
	scenarios["11"] = scenario{
		instances: instanceFaults{
			status: everyNth(refusedEvery, http.StatusServiceUnavailable),
			extra: func(previous, _ string) string {
				return cutCopy(previous, "HTTP/1.1 503", names["notrun"]+": 1")
			},
		},
		play: playRefusedCopies,
	}
	scenarios["12"] = scenario{
		instances: instanceFaults{
			status: everyNth(failedEvery, http.StatusInternalServerError),
			extra: func(previous, next string) string {
				if !strings.HasPrefix(next, "HTTP/1.1 500") {
					return ""
				}
				return cutCopy(previous, "HTTP/1.1 200", "HTTP/1.1 200 OK")
			},
		},
		play: playAnswerCopies,
	}
}

// everyNth returns a function that gives every nth request a status and the others
// 200.
func everyNth(every int64, status int) func(n int64) int {
	return func(n int64) int {
		if n%every == 0 {
			return status
		}
		return http.StatusOK
	}
}

// cutCopy returns the copy of an answer that begins with status, cut off after a
// text of its head. It returns nothing for another answer.
func cutCopy(previous, status, after string) string {
	if !strings.HasPrefix(previous, status) {
		return ""
	}
	before, _, ok := strings.Cut(previous, after)
	if !ok {
		return ""
	}
	return before + after
}

// sendWhileGarbled sends orders. With the disruption, the faulty instance sends
// extra bytes for a part of the time.
func (f *fleet) sendWhileGarbled(trouble bool) {
	faulty := f.nodes[0].instance
	if trouble {
		time.AfterFunc(garbleAfter, func() { faulty.garbling.Store(true) })
		time.AfterFunc(garbleAfter+garbleLength, func() { faulty.garbling.Store(false) })
	}
	f.sendRequests(http.MethodPost, "/order/1", extraBytesLoad)
	f.rec.note("extra bytes in front of %d of %d answers of %s", faulty.extras.Load(), faulty.answered.Load(), faulty.id)
}

// playRefusedCopies checks that no order runs twice, and that none that ran is
// answered as not run.
func playRefusedCopies(f *fleet, trouble bool) ([]string, error) {
	f.sendWhileGarbled(trouble)
	f.rec.mu.Lock()
	defer f.rec.mu.Unlock()
	var out []string
	for id, runs := range f.rec.runs {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("TWICE: order %s ran %d times: %v", id, len(runs), runs))
		}
		switch a := f.rec.answers[id]; a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			out = append(out, fmt.Sprintf("REFUSED: order %s was answered %d and has run: %v", id, a.status, runs))
		}
	}
	return out, f.enough()
}

// playAnswerCopies checks that each answer under an instance's signature has the
// status that the instance gave.
func playAnswerCopies(f *fleet, trouble bool) ([]string, error) {
	f.sendWhileGarbled(trouble)
	f.rec.mu.Lock()
	defer f.rec.mu.Unlock()
	var out []string
	for id, a := range f.rec.answers {
		if a.signature == "" {
			continue
		}
		for _, r := range f.rec.runs[id] {
			if a.signature == signature(r.instance, id, r.status) && a.status != r.status {
				out = append(out, fmt.Sprintf("MIXED: order %s was answered %d under the signature of %s, which had answered with %d", id, a.status, r.instance, r.status))
			}
		}
	}
	return out, f.enough()
}

// enough returns an error if the load did not reach the fleet. f.rec.mu must be held.
func (f *fleet) enough() error {
	served := 0
	for _, a := range f.rec.answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	f.rec.line("%d requests answered, %d with success", len(f.rec.answers), served)
	if served < 100 {
		return fmt.Errorf("only %d requests were served", served)
	}
	return nil
}
