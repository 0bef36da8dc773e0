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
			c.handleAnswer(now, wallMS, m, a)
		}
	}
	if len(m.Asks) == 0 {
		return Message{}, false
	}
	reply = Message{From: c.self, To: m.From.Node, AnswerTo: m.From.Incarnation, AnswerAt: m.AskedAt}
	for _, a := range m.Asks {
		reply.Answers = append(reply.Answers, c.answerRequest(a))
	}
	return reply, true
}

// answerRequest acknowledges the requested epoch, even if its group is not
// known here yet, and returns the latest known epoch.
func (c *Core) answerRequest(a Ask) Answer {
	s := c.service(a.Service)
	c.raiseMinEpoch(s, a.Epoch)
	return Answer{Service: a.Service, Epoch: s.minEpoch, Active: s.activeEpoch}
}

func (c *Core) handleAnswer(now time.Duration, wallMS int64, m Message, a Answer) {
	s := c.services[a.Service]
	if s == nil {
		return
	}
	c.raiseMinEpoch(s, a.Epoch)
	s.setActive(a.Active, wallMS)
	s.recordAck(now, m.From, a.Epoch)
	s.recordAnswerTime(m.From, m.AnswerAt)
	if a.Epoch == s.current.Epoch {
		s.recordConfirmation(m.From, m.AnswerAt+Term)
	}
	c.updateActive(now, wallMS, s)
}

// recordConfirmation records a confirmation by exactly the incarnation named in
// the group: a later process does not know what its predecessor acknowledged.
func (s *service) recordConfirmation(from fleet.Member, end time.Duration) {
	i := memberIndex(s.current.Members, from.Node)
	if i < 0 || s.current.Members[i] != from {
		return
	}
	if end > s.confirmed[from.Node] {
		s.confirmed[from.Node] = end
	}
}

func (s *service) recordAnswerTime(from fleet.Member, at time.Duration) {
	i := memberIndex(s.current.Members, from.Node)
	if i < 0 || from.Incarnation < s.current.Members[i].Incarnation {
		return
	}
	if last, ok := s.lastAnswers[from.Node]; !ok || at > last {
		s.lastAnswers[from.Node] = at
	}
}
