// Command standin3 runs one case of the third review: stand-ins for the platform, for workers and for clients in this
// process, and entry instances as processes of their own. It exits with 0 if the rule of the case held, with 1 if it was
// broken, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the duration of a case.
const caseLimit = 110 * time.Second

// reviewCase plays a case and returns what broke the rule, or an error if the case could not run.
type reviewCase func(ctx context.Context, p *platform, trouble bool) (broken []string, err error)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/pollenlead", "the program under test")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "standin3: no case %q\n", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecorder(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		return exitNotRun
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	p, err := newPlatform(*program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		return exitNotRun
	}
	defer p.close()
	record.note("case %s, trouble %v", *name, trouble)
	broken, err := play(ctx, p, trouble)
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin3: the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			record.note("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	record.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
