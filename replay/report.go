package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// WriteJSON writes the scores as JSON Lines.
func WriteJSON(w io.Writer, scores []*Score) error {
	enc := json.NewEncoder(w)
	for _, s := range scores {
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes the scores as a table, followed by a table of the
// ejections.
func WriteTable(w io.Writer, scores []*Score) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FILE\tSERVICE\tPREFER\tSICK\tDETECTED\tMEDIAN MS\tWORST MS\tSICK WORK\tEJECTED\tFALSE\tWITHHELD\tFLOOR")
	for _, s := range scores {
		found := s.DetectionTimes()
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d/%d\t%d\t%d\t%d/%d\t%d\n",
			s.File, s.Service, s.Prefer, s.UnhealthyIntervals, len(found), quantile(found, 0.5), quantile(found, 1),
			s.UnhealthyRequests, s.UnhealthyOffered, len(s.fleetWide()), s.FalseEjections,
			s.HealthyWithheld, s.HealthyOffered, s.FloorViolations)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	return writeEjections(w, scores)
}

func writeEjections(w io.Writer, scores []*Score) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\nFILE\tT MS\tTARGET\tBY NODE\tREASON")
	for _, s := range scores {
		for _, e := range s.Ejections {
			node := e.Node
			if node == "" {
				node = "(all)"
			}
			fmt.Fprintf(tw, "%s\t%.0f\t%s\t%s\t%s\n", s.File, e.TimeMS, e.Target, node, e.Reason)
		}
	}
	return tw.Flush()
}

// DetectionTimes returns the sorted detection times, in ms, of the intervals
// in which the target was ejected.
func (s *Score) DetectionTimes() []float64 {
	var out []float64
	for _, d := range s.DetectionMS {
		if d != nil {
			out = append(out, *d)
		}
	}
	slices.Sort(out)
	return out
}

// fleetWide returns the ejections by all nodes.
func (s *Score) fleetWide() []Ejection {
	var out []Ejection
	for _, e := range s.Ejections {
		if e.Node == "" {
			out = append(out, e)
		}
	}
	return out
}

func quantile(sorted []float64, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", sorted[int(q*float64(len(sorted)-1))])
}
