package console

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyplank.org/core/validator"
)

// difference says in words what a draft changes.
func difference(old, draft validator.Document) []string {
	var words []string
	say := func(format string, args ...any) { words = append(words, fmt.Sprintf(format, args...)) }
	if old.Entries != draft.Entries {
		say("At most %d entries run at once, instead of %d.", draft.Entries, old.Entries)
	}
	for _, s := range draft.Services {
		before, ok := old.Service(s.Name)
		if !ok {
			say("Service %s is new, with %d routes.", s.Name, len(s.Routes))
			continue
		}
		words = append(words, serviceDifference(before, s)...)
	}
	for _, s := range old.Services {
		if _, ok := draft.Service(s.Name); !ok {
			say("Service %s is removed: its routes lead nowhere.", s.Name)
		}
	}
	for _, s := range draft.Stops {
		if !slices.Contains(old.Stops, s) {
			say("Endpoint %s of %s gets no new work %s.", s.Endpoint, s.Service, when(s.At))
		}
	}
	for _, s := range old.Stops {
		if !slices.ContainsFunc(draft.Stops, func(t validator.Stop) bool { return t.Service == s.Service && t.Endpoint == s.Endpoint }) {
			say("Endpoint %s of %s may get work again.", s.Endpoint, s.Service)
		}
	}
	return words
}

func when(at time.Time) string {
	if at.IsZero() {
		return "at once"
	}
	return "from " + at.Format(time.RFC3339) + " on"
}

func serviceDifference(old, s validator.Service) []string {
	var words []string
	number := func(name string, before, after int) {
		if before != after {
			words = append(words, fmt.Sprintf("Service %s: %s is %d instead of %d.", s.Name, name, after, before))
		}
	}
	number("queue-limit", old.QueueLimit, s.QueueLimit)
	number("retry-percent", old.RetryPercent, s.RetryPercent)
	number("probe-ms-per-second", old.ProbeMsPerSecond, s.ProbeMsPerSecond)
	number("probe-bytes-per-second", old.ProbeBytesPerSecond, s.ProbeBytesPerSecond)
	number("connections", old.Connections, s.Connections)
	if !slices.Equal(old.Admitted, s.Admitted) {
		words = append(words, fmt.Sprintf("Service %s: %s may serve.", s.Name, admitted(s)))
	}
	for _, r := range s.Routes {
		if !slices.ContainsFunc(old.Routes, r.Equal) {
			words = append(words, fmt.Sprintf("Service %s: route %s%s is new or changed.", s.Name, r.Host, r.PathPrefix))
		}
	}
	for _, r := range old.Routes {
		if !slices.ContainsFunc(s.Routes, r.SameMatch) {
			words = append(words, fmt.Sprintf("Service %s: route %s%s is removed.", s.Name, r.Host, r.PathPrefix))
		}
	}
	return words
}

func admitted(s validator.Service) string {
	if len(s.Admitted) == 0 {
		return "every endpoint that announces itself"
	}
	return "only " + strings.Join(s.Admitted, ", ")
}
