//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	held = iota
	ruleBroken
	notRun
)

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"refused": playRefused,
	"turns":   playTurns,
	"flood":   playFlood,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/thymefront", "the daemon's program")
	record := flag.String("record", "record.txt", "the record's file")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w := newWorld(*program, dir)
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("the case could not run: %v", err)
	}
	if endErr := w.end(*record); err == nil {
		err = endErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		fmt.Println("the rule is broken; see", *record)
		return ruleBroken
	}
	fmt.Println("the rule held")
	return held
}
