package control

import "fmt"

// itemOverhead is the estimated size in bytes of an item's numbers and framing
// in an encoded update.
const itemOverhead = 64

// MaxUpdateBytes is the maximum size of an encoded update or part that
// DecodeUpdate accepts.
const MaxUpdateBytes = 1 << 20

// Split divides an update into parts whose encoded size is at most about
// maxBytes. It never divides a single item.
func (u Update) Split(maxBytes int) []Update {
	var parts []Update
	cur := u.emptyPart()
	size := 0
	add := func(n int) {
		if size > 0 && size+n > maxBytes {
			parts = append(parts, cur)
			cur, size = u.emptyPart(), 0
		}
		size += n
	}
	for i := range u.Mandates {
		add(u.Mandates[i].size())
		cur.Mandates = append(cur.Mandates, u.Mandates[i])
	}
	for i := range u.Groups {
		add(u.Groups[i].size())
		cur.Groups = append(cur.Groups, u.Groups[i])
	}
	parts = append(parts, cur)
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

func (u *Update) emptyPart() Update {
	return Update{From: u.From, To: u.To, Digest: u.Digest, Round: u.Round}
}

func (it *MandateItem) size() int {
	return itemOverhead + len(it.Name) + len(it.Holder) + len(it.ID) + len(it.Reason) + len(it.Document)
}

func (it *GroupItem) size() int {
	n := itemOverhead + len(it.Service) + len(it.ID)
	for i := range it.Members {
		n += len(it.Members[i].Node) + 12
	}
	return n
}

// Join combines the parts of one update. It returns ErrBadUpdate if a part is
// missing or belongs to another update.
func Join(parts []Update) (Update, error) {
	if len(parts) == 0 {
		return Update{}, fmt.Errorf("%w: no parts", ErrBadUpdate)
	}
	out := parts[0].emptyPart()
	out.Parts = 1
	for i := range parts {
		p := &parts[i]
		if p.Part != i || p.Parts != len(parts) || p.From != out.From || p.To != out.To || p.Digest != out.Digest {
			return Update{}, fmt.Errorf("%w: part %d of %d is missing or belongs to another update", ErrBadUpdate, i, len(parts))
		}
		out.Mandates = append(out.Mandates, p.Mandates...)
		out.Groups = append(out.Groups, p.Groups...)
	}
	return out, nil
}

// EncodeUpdate encodes an update or part for transfer.
func EncodeUpdate(u Update) ([]byte, error) {
	data, err := encMode.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadUpdate, err)
	}
	return data, nil
}

// DecodeUpdate decodes and checks an update or part of at most MaxUpdateBytes.
func DecodeUpdate(data []byte) (Update, error) {
	if len(data) > MaxUpdateBytes {
		return Update{}, fmt.Errorf("%w: %d bytes exceed %d", ErrBadUpdate, len(data), MaxUpdateBytes)
	}
	var u Update
	if err := strictMode.Unmarshal(data, &u); err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrBadUpdate, err)
	}
	if err := u.check(); err != nil {
		return Update{}, err
	}
	return u, nil
}
