package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("a rule was broken")

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(f *fleet, trouble bool) error{
	"first-start": firstStart,
	"returning":   returning,
	"rolling":     rolling,
	"wiped":       wiped,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	play := cases[name]
	file, err := os.Create(path)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return notRun
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	f, err := newFleet(rec)
	if err != nil {
		rec.log("rig       %v", err)
		return notRun
	}
	defer f.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.end()
		os.Exit(notRun)
	}()
	rec.log("rig       case %s, with the disruption: %t", name, trouble)
	err = play(f, trouble)
	switch {
	case errors.Is(err, errBroken):
		rec.log("rig       BROKEN: %v", err)
		return broken
	case err != nil:
		rec.log("rig       could not run: %v", err)
		return notRun
	}
	rec.log("rig       the rule held")
	return held
}
