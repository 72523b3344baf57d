// Command standin2 plays the cases of the second review that are scripts. It starts the entry instances as separate
// processes, with stand-ins for the store, the workers and the services of the platform, and writes what was sent,
// answered and run to a record.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// cases holds the cases by name. trouble is false if the disruption is to be left out.
var cases = map[string]func(w *world, trouble bool) error{
	"advice":  caseAdvice,
	"quota":   caseQuota,
	"label":   caseLabel,
	"pending": casePending,
	"same-id": caseSameID,
	"stale":   caseStale,
	"wave":    caseWave,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return exitFailed
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	outcome := make(chan error, 1)
	go func() { outcome <- cases[os.Args[1]](w, trouble) }()
	select {
	case err = <-outcome:
	case <-stop:
		err = errors.New("the case was stopped")
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case has not ended after %s", maxDuration)
	}
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	broken := w.violations()
	if len(broken) == 0 {
		w.note("the rule held")
		fmt.Println("held")
		return exitHeld
	}
	for _, text := range broken {
		fmt.Println("BROKEN:", text)
	}
	return exitBroken
}
