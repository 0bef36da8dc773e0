package health

// Cancel forgets an open request whose end says nothing about its target, for
// example because the caller left.
func (c *Detector) Cancel(id uint64) {
	r := c.open[id]
	if r == nil {
		return
	}
	delete(c.open, id)
	r.target.removeOpen(r)
}
