// Command thymemeasure simulates the daemon's decision code in virtual time and prints
// one line of JSON for each run:
//
//	thymemeasure -deployment sonora -policy ours,round-robin -fault none -seeds 3
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/thymewind/thymewind/internal/measure"
)

// line is one run as it is printed.
type line struct {
	Deployment string         `json:"deployment"`
	Policy     measure.Policy `json:"policy"`
	Fault      string         `json:"fault"`
	Seed       uint64         `json:"seed"`
	measure.Figures
}

func main() {
	deployments := flag.String("deployment", "lutong-bahay,sonora", "deployments, with commas")
	policies := flag.String("policy", "", "policies, with commas; empty means all")
	faults := flag.String("fault", "", "faults, with commas; empty means all")
	seeds := flag.Uint64("seeds", 3, "runs with the seeds from 1 on")
	workers := flag.Int("workers", 4, "runs at once")
	asTable := flag.Bool("table", false, "print a Markdown table of the means over the seeds instead")
	flag.Parse()
	if err := check(flag.Args(), choices(*deployments, *policies, *faults)); err != nil {
		fmt.Fprintln(os.Stderr, "thymemeasure:", err)
		os.Exit(2)
	}
	var scenarios []measure.Scenario
	for _, d := range []measure.Deployment{measure.LutongBahay, measure.Sonora} {
		for _, f := range measure.Faults() {
			for _, p := range measure.Policies() {
				for seed := uint64(1); seed <= *seeds; seed++ {
					if wanted(*deployments, d.Name) && wanted(*policies, string(p)) && wanted(*faults, f) {
						scenarios = append(scenarios, measure.Scenario{Deployment: d, Policy: p, Fault: f, Seed: seed})
					}
				}
			}
		}
	}
	if len(scenarios) == 0 {
		fmt.Fprintln(os.Stderr, "thymemeasure: nothing has these names")
		os.Exit(2)
	}
	lines := run(scenarios, max(*workers, 1))
	if *asTable {
		if err := table(os.Stdout, lines); err != nil {
			os.Exit(1)
		}
		return
	}
	out := json.NewEncoder(os.Stdout)
	for _, l := range lines {
		if out.Encode(l) != nil || l.Wrong > 0 {
			os.Exit(1)
		}
	}
}

// choice is a flag that selects some of the known names.
type choice struct {
	flag, named string
	known       []string
}

// choices returns the selections of the flags with the known names.
func choices(deployments, policies, faults string) []choice {
	var known []string
	for _, p := range measure.Policies() {
		known = append(known, string(p))
	}
	return []choice{
		{"deployment", deployments, []string{measure.LutongBahay.Name, measure.Sonora.Name}},
		{"policy", policies, known},
		{"fault", faults, measure.Faults()},
	}
}

// check refuses arguments and unknown names; the error lists the known ones.
func check(arguments []string, all []choice) error {
	if len(arguments) > 0 {
		return fmt.Errorf("%q is no flag; there are -deployment, -policy, -fault, -seeds, -workers and -table", arguments[0])
	}
	for _, c := range all {
		for name := range strings.SplitSeq(c.named, ",") {
			if name != "" && !slices.Contains(c.known, name) {
				return fmt.Errorf("-%s: %q is none of %s", c.flag, name, strings.Join(c.known, ", "))
			}
		}
	}
	return nil
}

func wanted(list, name string) bool {
	return list == "" || strings.Contains(","+list+",", ","+name+",")
}

// run simulates all scenarios and returns their lines in order.
func run(scenarios []measure.Scenario, workers int) []line {
	lines := make([]line, len(scenarios))
	next := make(chan int)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for i := range next {
				s := scenarios[i]
				lines[i] = line{s.Deployment.Name, s.Policy, s.Fault, s.Seed, measure.Run(s)}
			}
		})
	}
	for i := range scenarios {
		next <- i
	}
	close(next)
	all.Wait()
	return lines
}
