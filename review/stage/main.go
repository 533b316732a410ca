// Program stage plays the cases of the review: it starts a small deployment of the system with
// stand-in servers, requesters and operators on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene plays one case. It returns the number of breaks of the rule.
type scene func(record *Record, trouble bool) (breaks int, err error)

var scenes = map[string]scene{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		return exitNotRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitNotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("case %s, trouble %t", os.Args[1], trouble)
	breaks, err := scenes[os.Args[1]](record, trouble)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return exitNotRun
	}
	if breaks > 0 {
		record.Say("the rule was broken, %d times", breaks)
		return exitBroken
	}
	record.Say("the rule held")
	return exitHeld
}
