package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// Receive processes a message and returns the reply, if there is one. now must
// be read after the message arrived.
func (c *Core) Receive(now time.Duration, wallMS int64, m Message) (reply Message, ok bool) {
	if m.To != c.self.Node {
		return Message{}, false
	}
	if len(m.Answers) > 0 && m.AnswerTo == c.self.Incarnation {
		for _, a := range m.Answers {
			c.answered(now, wallMS, m, a)
		}
	}
	if len(m.Asks) == 0 {
		return Message{}, false
	}
	reply = Message{From: c.self, To: m.From.Node, AnswerTo: m.From.Incarnation, AnswerAt: m.AskedAt}
	for _, a := range m.Asks {
		reply.Answers = append(reply.Answers, c.answer(a))
	}
	return reply, true
}

// answer acknowledges the epoch asked for, even if its group is not known
// here yet, and states the latest epoch.
func (c *Core) answer(a Ask) Answer {
	s := c.service(a.Service)
	c.raise(s, a.Epoch)
	return Answer{Service: a.Service, Epoch: s.floor, Active: s.activeEpoch}
}

func (c *Core) answered(now time.Duration, wallMS int64, m Message, a Answer) {
	s := c.services[a.Service]
	if s == nil {
		return
	}
	c.raise(s, a.Epoch)
	s.setActive(a.Active, wallMS)
	s.noteAck(now, m.From, a.Epoch)
	s.noteHeard(m.From, m.AnswerAt)
	if a.Epoch == s.current.Epoch {
		s.noteConfirmation(m.From, m.AnswerAt+Term)
	}
	c.updateActive(now, wallMS, s)
}

// noteConfirmation counts only the exact incarnation named in the group: a
// later process has no memory of what its predecessor acknowledged.
func (s *service) noteConfirmation(from fleet.Member, end time.Duration) {
	i := memberIndex(s.current.Members, from.Node)
	if i < 0 || s.current.Members[i] != from {
		return
	}
	if end > s.confirmed[from.Node] {
		s.confirmed[from.Node] = end
	}
}

func (s *service) noteHeard(from fleet.Member, at time.Duration) {
	i := memberIndex(s.current.Members, from.Node)
	if i < 0 || from.Incarnation < s.current.Members[i].Incarnation {
		return
	}
	if last, ok := s.heard[from.Node]; !ok || at > last {
		s.heard[from.Node] = at
	}
}
