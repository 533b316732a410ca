package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
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

func showStatus(w io.Writer, all []controller.Status) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) } // errors come with Flush
	row("REPLICA\tROLE\tTERM\tLEADER\tREVISION\tIN FORCE\tCLAIMS\tHEARS MAJORITY")
	for _, s := range all {
		row("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%t", s.Replica, s.Role, s.Term, s.Leader, s.Revision, s.InForce, s.Claims, s.InContactWithQuorum)
	}
	row("\nENTRY\tDATA CENTRE\tREVISION\tSTANDING\tREPLICA")
	for _, s := range all {
		for _, e := range s.Entries {
			row("%s\t%s\t%d\t%t\t%s", e.Entry, e.DataCentre, e.Revision, e.Standing, s.Replica)
		}
	}
	row("\nSERVICE\tENDPOINT\tSTATE\tSLOTS\tDATA CENTRE\tADDRESS\tIN FLIGHT")
	for _, a := range newest(all) {
		row("%s\t%s\t%s\t%d\t%s\t%s\t%s", a.Service, a.Endpoint, a.State, a.Slots, a.DataCentre, a.Address, inFlight(all, a.Service, a.Endpoint))
	}
	_ = t.Flush() // standard output may be closed
}

// newest returns the registry of the replica that is most likely up to date.
func newest(all []controller.Status) []registrar.Announcement {
	best := all[0]
	for _, s := range all {
		if s.InContactWithQuorum && !best.InContactWithQuorum {
			best = s
		}
	}
	return best.Endpoints
}

// inFlight sums what entries report of an endpoint that leaves.
func inFlight(all []controller.Status, service, endpoint string) string {
	sum, leaves := 0, false
	for _, s := range all {
		for _, e := range s.Entries {
			for _, l := range e.Leaving {
				if l.Name.Service == service && l.Name.Endpoint == endpoint {
					sum += l.InFlight
					leaves = true
				}
			}
		}
	}
	if !leaves {
		return ""
	}
	return fmt.Sprintf("%d, leaving", sum)
}

// stopComplete reports whether every entry in standing has the stop and has
// nothing in flight at the endpoint.
func stopComplete(all []controller.Status, s validator.Stop) bool {
	entries := 0
	for _, replica := range all {
		for _, e := range replica.Entries {
			if !e.Standing {
				continue
			}
			entries++
			if !idleAt(e, s) {
				return false
			}
		}
	}
	return entries > 0
}

func idleAt(e controller.EntryStatus, s validator.Stop) bool {
	for _, l := range e.Leaving {
		if l.Name.Service == s.Service && l.Name.Endpoint == s.Endpoint {
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
		fmt.Println(line(event))
	}
	if t.Lost > 0 {
		fmt.Printf("(%d events were lost)\n", t.Lost)
	}
	for _, address := range t.Silent {
		fmt.Printf("(%s did not answer)\n", address)
	}
	return nil
}

func line(e recorder.Event) string {
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
