package health

// Cancel forgets an open request whose end says nothing about its target, for
// example because the caller disconnected.
func (d *Detector) Cancel(id uint64) {
	r := d.open[id]
	if r == nil {
		return
	}
	delete(d.open, id)
	r.target.removeOpen(r)
}
