package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldNot   = 2
	defaultExe = "target/lovagelink"
)

// play is one case: it returns whether the rule was broken. With trouble false it leaves the disturbance out.
type play func(s *system, trouble bool) (isBroken bool, err error)

// cases lists the cases by name.
var cases = map[string]struct {
	cores, fronts int
	play          play
}{
	"service-returns": {3, 3, playServiceReturns},
	"large-bodies":    {3, 3, playLargeBodies},
	"stray-check-in":  {3, 3, playStrayCheckIn},
	"planned-stop":    {3, 3, playPlannedStop},
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", defaultExe, "the program of the deploy file")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, path string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return couldNot
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = record.close() }()
	s, err := newSystem(record, program, c.cores, c.fronts)
	if err != nil {
		record.say("could not run: %v", err)
		return couldNot
	}
	defer s.close()
	isBroken, err := c.play(s, trouble)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return couldNot
	case isBroken:
		record.say("the rule was broken")
		return broken
	}
	record.say("the rule held")
	return held
}
