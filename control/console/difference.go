package console

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyplank.org/core/validator"
)

// describeChanges lists the changes from the old document to the draft, one sentence each.
func describeChanges(old, draft validator.Document) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	if old.Entries != draft.Entries {
		add("At most %d entries run at once, instead of %d.", draft.Entries, old.Entries)
	}
	for _, s := range draft.Services {
		before, ok := old.Service(s.Name)
		if !ok {
			add("Service %s is new, with %d routes.", s.Name, len(s.Routes))
			continue
		}
		lines = append(lines, describeServiceChanges(before, s)...)
	}
	for _, s := range old.Services {
		if _, ok := draft.Service(s.Name); !ok {
			add("Service %s is removed: its routes lead nowhere.", s.Name)
		}
	}
	for _, s := range draft.Stops {
		if !slices.Contains(old.Stops, s) {
			add("Endpoint %s of %s gets no new work %s.", s.Endpoint, s.Service, formatStopTime(s.At))
		}
	}
	for _, s := range old.Stops {
		if !slices.ContainsFunc(draft.Stops, func(t validator.Stop) bool { return t.Service == s.Service && t.Endpoint == s.Endpoint }) {
			add("Endpoint %s of %s may get work again.", s.Endpoint, s.Service)
		}
	}
	return append(lines, describeWorkspaceChanges(old.Workspaces, draft.Workspaces)...)
}

// describeWorkspaceChanges names the workspaces that have changed. It tells how many keys there are, and none of them.
func describeWorkspaceChanges(old, draft []validator.Workspace) []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, w := range draft {
		i := slices.IndexFunc(old, func(o validator.Workspace) bool { return o.Name == w.Name })
		switch {
		case i < 0:
			add("Workspace %s is new, with %d keys.", w.Name, len(w.Keys))
			continue
		case !slices.Equal(old[i].Keys, w.Keys):
			add("Workspace %s: its keys have changed; there are %d.", w.Name, len(w.Keys))
		}
		if !samePriority(old[i].Priority, w.Priority) || old[i].RatePerSecond != w.RatePerSecond || old[i].Burst != w.Burst {
			add("Workspace %s: its priority or its rate limit has changed.", w.Name)
		}
	}
	for _, o := range old {
		if !slices.ContainsFunc(draft, func(w validator.Workspace) bool { return w.Name == o.Name }) {
			add("Workspace %s is removed: its keys are not valid any more.", o.Name)
		}
	}
	return lines
}

func samePriority(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func formatStopTime(at time.Time) string {
	if at.IsZero() {
		return "at once"
	}
	return "from " + at.Format(time.RFC3339) + " on"
}

func describeServiceChanges(old, s validator.Service) []string {
	var lines []string
	addIfChanged := func(name string, before, after int) {
		if before != after {
			lines = append(lines, fmt.Sprintf("Service %s: %s is %d instead of %d.", s.Name, name, after, before))
		}
	}
	addIfChanged("queue-limit", old.QueueLimit, s.QueueLimit)
	addIfChanged("retry-percent", old.RetryPercent, s.RetryPercent)
	addIfChanged("probe-ms-per-second", old.ProbeMsPerSecond, s.ProbeMsPerSecond)
	addIfChanged("probe-bytes-per-second", old.ProbeBytesPerSecond, s.ProbeBytesPerSecond)
	addIfChanged("connections", old.Connections, s.Connections)
	if !slices.Equal(old.Admitted, s.Admitted) {
		lines = append(lines, fmt.Sprintf("Service %s: %s may serve.", s.Name, formatAdmitted(s)))
	}
	for _, r := range s.Routes {
		if !slices.ContainsFunc(old.Routes, r.Equal) {
			lines = append(lines, fmt.Sprintf("Service %s: route %s%s is new or changed.", s.Name, r.Host, r.PathPrefix))
		}
	}
	for _, r := range old.Routes {
		if !slices.ContainsFunc(s.Routes, r.SameMatch) {
			lines = append(lines, fmt.Sprintf("Service %s: route %s%s is removed.", s.Name, r.Host, r.PathPrefix))
		}
	}
	return lines
}

func formatAdmitted(s validator.Service) string {
	if len(s.Admitted) == 0 {
		return "every endpoint that announces itself"
	}
	return "only " + strings.Join(s.Admitted, ", ")
}
