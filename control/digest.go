package control

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hasher hashes the fields of an item. Texts are length-prefixed, so that
// adjacent fields cannot be confused.
type hasher struct {
	sum xxhash.Digest
	buf [8]byte
}

func newHasher(kind string) *hasher {
	h := &hasher{}
	h.sum.Reset()
	h.text(kind)
	return h
}

func (h *hasher) number(v int64) {
	binary.LittleEndian.PutUint64(h.buf[:], uint64(v))
	_, _ = h.sum.Write(h.buf[:])
}

func (h *hasher) text(s string) {
	h.number(int64(len(s)))
	_, _ = h.sum.WriteString(s)
}

func (m *Mandate) digest() uint64 {
	h := newHasher("mandate")
	h.text(m.Name)
	h.number(m.Term)
	h.text(m.Holder)
	h.number(m.Revision)
	h.text(m.ID)
	h.text(m.Reason)
	h.number(int64(len(m.Document)))
	_, _ = h.sum.Write(m.Document)
	if m.Withdrawn {
		h.number(1)
	}
	return h.sum.Sum64()
}

func (g *Group) digest() uint64 {
	h := newHasher("group")
	h.text(g.Service)
	h.number(g.Epoch)
	h.text(g.ID)
	h.number(g.Base)
	h.number(g.AcceptedMS)
	h.members(memberItems(g.Members))
	h.history(g.Past)
	return h.sum.Sum64()
}
