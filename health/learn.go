package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	learnDelay = 2 * time.Second
	learnQueue = 64  // answers of one target that wait
	learnShare = 0.5 // of the threshold; answers of targets with more evidence are dropped
	// coldReference is the number of samples of a class from which the answers of
	// starting targets stay out of the reference.
	coldReference = 200
)

// lesson is an answer that waits to enter the reference. Answers enter after a
// delay and only from targets that are not suspect by then: the first slow
// answers of several gray targets would otherwise become the norm.
type lesson struct {
	at      time.Duration
	ms      float32
	node    uint16
	class   fleet.Class
	outcome Outcome
}

// learn queues an answer for the reference. While most targets are bad their
// answers are the norm and enter at once.
func (c *Detector) learn(t *target, s sample, ms float64) {
	if c.faults.held {
		c.ref.add(s.class, s.outcome, ms)
		return
	}
	if t.cold.cold && c.ref.classes[s.class].samples >= coldReference {
		return
	}
	if len(t.lessons) == learnQueue {
		c.conclude(s.at, t, t.lessons[0])
		t.lessons = append(t.lessons[:0], t.lessons[1:]...)
	}
	t.lessons = append(t.lessons, lesson{
		at:      s.at,
		ms:      float32(ms),
		node:    s.node,
		class:   s.class,
		outcome: s.outcome,
	})
}

// learnDue passes the answers that have waited long enough to the reference.
func (c *Detector) learnDue(now time.Duration, t *target) {
	n := 0
	for n < len(t.lessons) && now-t.lessons[n].at >= learnDelay {
		c.conclude(now, t, t.lessons[n])
		n++
	}
	t.lessons = append(t.lessons[:0], t.lessons[n:]...)
}

func (c *Detector) conclude(now time.Duration, t *target, l lesson) {
	suspect := t.condemned || c.total(now, t) >= learnShare*c.tuning.Threshold
	if suspect || c.faults.source(now, l.node, l.class) {
		return
	}
	c.ref.add(l.class, l.outcome, float64(l.ms))
}
