// Command review-standin plays one case of the review: it starts entry instances as processes of their own, with
// stand-ins for the store, the workers, the machines, the operator and the clients around them, all on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit bounds the time of one scenario.
const timeLimit = 112 * time.Second

// The exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the outcome of a case: the ways in which its rule was broken.
type verdict struct{ broken []string }

func (v *verdict) add(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// scenarios are the cases by name. Each returns an error if it could not run.
var scenarios = map[string]func(s *stage, trouble bool, v *verdict) error{
	"large-job":    largeJob,
	"failed-on":    failedOn,
	"moved-route":  movedRoute,
	"gang":         interruptedGang,
	"pending-jobs": pendingJobs,
}

func main() {
	name := flag.String("scenario", "", "the scenario to play")
	program := flag.String("program", "target/pollenlead", "the program of the deploy file")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *path, os.Getenv("TROUBLE") != "0"))
}

// endEarly ends all processes that were started if this one is told to stop or takes too long.
func endEarly(s *stage) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	fmt.Println("could not run: stopped or too slow")
	s.close()
	os.Exit(exitCannotRun)
}

func play(name, program, path string, trouble bool) int {
	scenario := scenarios[name]
	program, err := filepath.Abs(program)
	if scenario == nil || err != nil {
		fmt.Println("no such scenario:", name)
		return exitCannotRun
	}
	log, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		return exitCannotRun
	}
	defer func() { _ = log.Close() }()
	s, err := newStage(newRoom(log), program)
	if s != nil {
		defer s.close()
	}
	v := &verdict{}
	if err == nil {
		go endEarly(s)
		s.note("scenario %s, trouble %v", name, trouble)
		err = scenario(s, trouble, v)
	}
	if err != nil {
		fmt.Println("could not run:", err)
		if s != nil {
			s.note("could not run: %v", err)
		}
		return exitCannotRun
	}
	for _, x := range v.broken {
		fmt.Println("broken:", x)
		s.note("BROKEN: %s", x)
	}
	if len(v.broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	s.note("the rule held")
	return exitHeld
}
