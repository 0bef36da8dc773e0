package operator

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hyssopbridge/events"
)

// maxNameBytes bounds the names in queries.
const maxNameBytes = 256

// checkQuery rejects unknown, repeated and overlong parameters. An ignored
// misspelled filter would select everything.
func checkQuery(q url.Values, allowed ...string) error {
	for name, values := range q {
		if !contains(allowed, name) {
			return newProblem(http.StatusBadRequest, fmt.Sprintf("unknown parameter %.40q, allowed: %s", name, strings.Join(allowed, ", ")))
		}
		if len(values) != 1 || len(values[0]) > maxNameBytes {
			return newProblem(http.StatusBadRequest, fmt.Sprintf("parameter %s is repeated or longer than %d bytes", name, maxNameBytes))
		}
	}
	return nil
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func parseLimit(q url.Values) (int, error) {
	text := q.Get("limit")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, newProblem(http.StatusBadRequest, fmt.Sprintf("limit is %.40q, want a number of at least 1", text))
	}
	return n, nil
}

func parseStatusQuery(q url.Values) (StatusQuery, error) {
	if err := checkQuery(q, "service", "target", "limit"); err != nil {
		return StatusQuery{}, err
	}
	limit, err := parseLimit(q)
	return StatusQuery{Service: q.Get("service"), Target: q.Get("target"), Limit: limit}, err
}

func parseFilter(q url.Values, now time.Time) (events.Filter, error) {
	if err := checkQuery(q, "kind", "service", "target", "request", "since", "limit"); err != nil {
		return events.Filter{}, err
	}
	limit, err := parseLimit(q)
	if err != nil {
		return events.Filter{}, err
	}
	f := events.Filter{Service: q.Get("service"), Target: q.Get("target"), Request: q.Get("request"), Limit: limit}
	if kinds := q.Get("kind"); kinds != "" {
		for _, name := range strings.Split(kinds, ",") {
			k, err := events.ParseKind(name)
			if err != nil {
				return f, newProblem(http.StatusBadRequest, err.Error())
			}
			f.Kinds = append(f.Kinds, k)
		}
	}
	if since := q.Get("since"); since != "" {
		d, err := time.ParseDuration(since)
		if err != nil || d < 0 {
			return f, newProblem(http.StatusBadRequest, fmt.Sprintf("since is %.40q, want a duration such as 10m", since))
		}
		f.Since = now.Add(-d)
	}
	return f, nil
}
