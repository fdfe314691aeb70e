//go:build review

// Command play runs one case of the second review: it starts thymefront as separate processes
// beside stand-ins of the platform, sends requests, and checks one rule by what the clients and the
// servers saw.
//
//	play -case wall -program target/thymefront -record record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With the
// environment variable TROUBLE=0 it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

// cases are the cases by name. Each returns the breaches of its rule.
var cases = map[string]func(w *world) ([]string, error){
	"stale": stale,
	"wall":  wall,
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/thymefront", "the program under test")
	path := flag.String("record", "record.txt", "where what happened is written")
	flag.Parse()
	os.Exit(play(*name, *program, *path))
}

func play(name, program, path string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	w, err := newWorld(program, path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.endAfter(lengthLimit)
	breaches, err := run(w)
	if err == nil {
		err = w.unexpectedExit()
	}
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	slices.Sort(breaches)
	if len(breaches) > 0 {
		w.log("BROKEN, %d times:\n  %s", len(breaches), strings.Join(breaches, "\n  "))
		fmt.Println("broken:", breaches[0])
		return 1
	}
	w.log("held")
	fmt.Println("held")
	return 0
}
