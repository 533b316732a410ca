package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/ctl/client"
)

func printJSON(value any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(value), "print")
}

func (e *environment) showResult(r client.Result) {
	if e.global.Output == "json" {
		_ = printJSON(r) // standard output may be closed
		return
	}
	fmt.Printf("%s: %s\n", r.Status, r.Detail)
	if r.Answer.Revision > 0 {
		fmt.Printf("revision %d\n", r.Answer.Revision)
	}
	for _, p := range r.Problems {
		fmt.Println(" ", p)
	}
}

func showStatus(w io.Writer, statuses []controller.Status) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // Flush returns the errors
	row("REPLICA\tROLE\tTERM\tLEADER\tREVISION\tIN FORCE\tCLAIMS\tHEARS MAJORITY")
	for _, s := range statuses {
		row("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%t", s.Replica, s.Role, s.Term, s.Leader, s.Revision, s.InForce, s.Claims, s.InContactWithQuorum)
	}
	showEvacuations(row, statuses)
	row("\nENTRY\tDATA CENTRE\tREVISION\tSTANDING\tREPLICA")
	for _, s := range statuses {
		for _, e := range s.Entries {
			row("%s\t%s\t%d\t%t\t%s", e.Entry, e.DataCentre, e.Revision, e.Standing, s.Replica)
		}
	}
	row("\nSERVICE\tENDPOINT\tSTATE\tSLOTS\tDATA CENTRE\tADDRESS\tIN FLIGHT")
	for _, a := range currentEndpoints(statuses) {
		row("%s\t%s\t%s\t%d\t%s\t%s\t%s", a.Service, a.Endpoint, a.State, a.Slots, a.DataCentre, a.Address, inFlight(statuses, a.Service, a.Endpoint))
	}
	showLimits(row, statuses)
	showAdmission(row, statuses)
	_ = t.Flush() // standard output may be closed
}

// showEvacuations prints the evacuated data centres, as the replica with the latest revision knows them, if there are any.
func showEvacuations(row func(format string, args ...any), statuses []controller.Status) {
	latest := slices.MaxFunc(statuses, func(a, b controller.Status) int { return cmp.Compare(a.Revision, b.Revision) })
	if len(latest.Evacuated) == 0 {
		return
	}
	row("\nEVACUATED DATA CENTRE")
	for _, name := range latest.Evacuated {
		row("%s", name)
	}
}

// showLimits prints the limits that the leader knows, if there are any.
func showLimits(row func(format string, args ...any), statuses []controller.Status) {
	for _, s := range statuses {
		if s.Role != replicator.RoleLeader.String() || !s.InContactWithQuorum || len(s.Limits) == 0 {
			continue
		}
		row("\nSERVICE\tENDPOINT\tLIMIT PER SECOND\tSINCE\tPERMITS ISSUED")
		for _, l := range s.Limits {
			age := time.Duration(l.AgeMs) * time.Millisecond
			row("%s\t%s\t%g\t%s ago\t%d", l.Service, l.Endpoint, l.PerSecond, age.Round(time.Second), l.Issued)
		}
	}
}

// showAdmission prints the shares of calls that the leader has entries admit, if there are any.
func showAdmission(row func(format string, args ...any), statuses []controller.Status) {
	for _, s := range statuses {
		if s.Role != replicator.RoleLeader.String() || !s.InContactWithQuorum || len(s.Admission) == 0 {
			continue
		}
		row("\nWORKSPACE\tSERVICE\tPRIORITY\tSHARE ADMITTED")
		for _, a := range s.Admission {
			if a.Workspace != "" {
				row("%s\t\t\t%.3f", a.Workspace, a.Share)
				continue
			}
			row("\t%s\t%d\t%.3f", a.Service, a.Priority, a.Share)
		}
	}
}

// currentEndpoints returns the endpoints known to a replica that is in contact with a quorum, or
// to the first replica if there is none.
func currentEndpoints(statuses []controller.Status) []registrar.Announcement {
	current := statuses[0]
	for _, s := range statuses {
		if s.InContactWithQuorum && !current.InContactWithQuorum {
			current = s
		}
	}
	return current.Endpoints
}

// inFlight returns the total number of requests in flight that the entries report for an endpoint
// that gets no new work. It is empty for other endpoints.
func inFlight(statuses []controller.Status, service, endpoint string) string {
	sum, leaving := 0, false
	for _, s := range statuses {
		for _, e := range s.Entries {
			for _, l := range e.Leaving {
				if l.Name.Service == service && l.Name.Endpoint == endpoint {
					sum += l.InFlight
					leaving = true
				}
			}
		}
	}
	if !leaving {
		return ""
	}
	return fmt.Sprintf("%d, leaving", sum)
}

// stopComplete reports whether every entry that holds its configuration lease has applied the
// stop and has nothing in flight at the endpoint. It is false if there is no such entry.
func stopComplete(statuses []controller.Status, stop validator.Stop) bool {
	entries := 0
	for _, status := range statuses {
		for _, e := range status.Entries {
			if !e.Standing {
				continue
			}
			entries++
			if !hasNothingInFlight(e, stop) {
				return false
			}
		}
	}
	return entries > 0
}

// hasNothingInFlight reports whether an entry has applied a stop and has nothing in flight at the
// endpoint.
func hasNothingInFlight(e controller.EntryStatus, stop validator.Stop) bool {
	for _, l := range e.Leaving {
		if l.Name.Service == stop.Service && l.Name.Endpoint == stop.Endpoint {
			return l.InFlight == 0
		}
	}
	return false
}

func (e *environment) showTimeline(t client.Timeline) error {
	if e.global.Output == "json" {
		return printJSON(t)
	}
	for _, event := range t.Events {
		fmt.Println(formatEvent(event))
	}
	if t.Lost > 0 {
		fmt.Printf("(%d events were lost)\n", t.Lost)
	}
	for _, address := range t.Silent {
		fmt.Printf("(%s did not answer)\n", address)
	}
	return nil
}

func formatEvent(e recorder.Event) string {
	text := fmt.Sprintf("%s %-12s %-24s", time.UnixMilli(e.At.Wall).UTC().Format("15:04:05.000"), e.Instance, e.Kind)
	if e.Service != "" {
		text += " " + e.Service
	}
	if e.Endpoint != "" {
		text += "/" + e.Endpoint
	}
	if e.Request != "" {
		text += " request " + e.Request
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
