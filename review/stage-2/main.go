// Program stage-2 plays the cases of the second review: it starts the programs of the deploy file on loopback addresses,
// with stand-ins for backends, requesters and the operator, and checks one rule by what these have seen.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken is returned if the rule was broken. Any other error means that the case couldn't run.
var errBroken = errors.New("the rule was broken")

// stage is what a case gets.
type stage struct {
	root    string
	trouble bool
	record  *record
}

// cases holds the cases by their names.
var cases = map[string]func(context.Context, *stage) error{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go endOnSignal()
	s := &stage{root: *root, trouble: *trouble, record: r}
	r.add("case %s, with the disruption: %t", *name, s.trouble)
	switch err := run(ctx, s); {
	case err == nil:
		r.add("result: the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Println(err)
		return 1
	default:
		r.add("result: the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
}

// started are the deployments whose processes a signal ends.
var started []*deployment

// endOnSignal ends the program and all processes that it has started once it gets a signal.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	for _, d := range started {
		d.close()
	}
	os.Exit(2)
}
