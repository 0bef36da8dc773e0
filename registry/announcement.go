package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"hyssopbridge/fleet"
)

// Bounds of an announcement.
const (
	maxNameBytes   = 128
	maxSlots       = 10_000
	maxConnections = 100_000
	maxWarmUp      = 3600 // seconds
	maxBodyBytes   = 4 << 10
)

// Announcement is what a target says about itself.
type Announcement struct {
	ID          string
	Service     string
	Address     string // IP:port
	Slots       int
	Connections int
	State       fleet.InstanceState // Cold, Ready or Leaving
	WarmUp      time.Duration       // time after which a cold target counts as ready; 0: when it says so
}

// FieldError is an announcement with an invalid field.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// announcementJSON has pointers to tell absent fields from zeros.
type announcementJSON struct {
	ID          *string  `json:"id"`
	Service     *string  `json:"service"`
	Address     *string  `json:"address"`
	Slots       *int     `json:"slots"`
	Connections *int     `json:"connections"`
	State       *string  `json:"state"`
	WarmUp      *float64 `json:"warmUpSeconds"`
}

// ParseAnnouncement reads one JSON object without unknown fields. It checks all
// but the address range, which depends on settings.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var j announcementJSON
	if err := dec.Decode(&j); err != nil {
		return Announcement{}, fmt.Errorf("announcement: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, errors.New("announcement: data after the object")
	}
	return j.announcement()
}

func (j *announcementJSON) announcement() (Announcement, error) {
	var a Announcement
	err := errors.Join(
		name("id", j.ID, &a.ID),
		name("service", j.Service, &a.Service),
		address(j.Address, &a.Address),
		count("slots", j.Slots, maxSlots, &a.Slots),
		count("connections", j.Connections, maxConnections, &a.Connections),
		state(j.State, &a.State),
		warmUp(j.WarmUp, &a.WarmUp),
	)
	return a, err
}

func name(field string, v *string, out *string) error {
	if v == nil || *v == "" {
		return &FieldError{field, "missing"}
	}
	if len(*v) > maxNameBytes {
		return &FieldError{field, fmt.Sprintf("longer than %d bytes", maxNameBytes)}
	}
	for _, r := range *v {
		if !nameRune(r) {
			return &FieldError{field, fmt.Sprintf("character %q; letters, digits, '.', '_', ':' and '-' are allowed", r)}
		}
	}
	*out = *v
	return nil
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '_' || r == ':' || r == '-'
}

func address(v *string, out *string) error {
	if v == nil || *v == "" {
		return &FieldError{"address", "missing"}
	}
	host, port, err := net.SplitHostPort(*v)
	if err != nil {
		return &FieldError{"address", "want IP:port"}
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return &FieldError{"address", fmt.Sprintf("port %q", port)}
	}
	if net.ParseIP(host) == nil {
		return &FieldError{"address", fmt.Sprintf("%q is not an IP number", host)}
	}
	*out = *v
	return nil
}

func count(field string, v *int, limit int, out *int) error {
	if v == nil {
		return &FieldError{field, "missing"}
	}
	if *v < 1 || *v > limit {
		return &FieldError{field, fmt.Sprintf("%d, want 1 to %d", *v, limit)}
	}
	*out = *v
	return nil
}

var announcedStates = map[string]fleet.InstanceState{
	"cold": fleet.Cold, "ready": fleet.Ready, "leaving": fleet.Draining,
}

func state(v *string, out *fleet.InstanceState) error {
	if v == nil {
		return &FieldError{"state", "missing"}
	}
	s, ok := announcedStates[*v]
	if !ok {
		return &FieldError{"state", fmt.Sprintf("%q, want cold, ready or leaving", *v)}
	}
	*out = s
	return nil
}

func warmUp(v *float64, out *time.Duration) error {
	if v == nil {
		return nil
	}
	if !(*v >= 0 && *v <= maxWarmUp) {
		return &FieldError{"warmUpSeconds", fmt.Sprintf("%g, want 0 to %d", *v, maxWarmUp)}
	}
	*out = time.Duration(*v * float64(time.Second))
	return nil
}
