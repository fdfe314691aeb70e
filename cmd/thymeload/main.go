// Command thymeload sends traffic like that of both deployments to entry daemons,
// checks every answer against the engine stand-ins' expected one, and prints the
// figures as one line of JSON:
//
//	thymeload -callers 127.0.0.1:8080,127.0.0.1:8081 -duration 10s -services 127.0.0.1:7301
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// load is one run of the tool.
type load struct {
	callers  []string
	services []string
	// engine, if set, also gets each prompt directly, for comparison.
	engine   string
	keys     []string
	model    string
	duration time.Duration
	workers  int
	pause    time.Duration
	tokens   int
	// prompts is the number of recurring prompts of each worker.
	prompts int
	// promptBytes is the size of a prompt's recurring part.
	promptBytes int
	seed        uint64
	label       string

	client  *http.Client
	figures figures
}

func main() {
	l := &load{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var callers, services, keys string
	flag.StringVar(&callers, "callers", "127.0.0.1:8080,127.0.0.1:8081,127.0.0.1:8082", "entry daemons, with commas")
	flag.StringVar(&services, "services", "127.0.0.1:7301,127.0.0.1:7302", "service stand-ins that tell which orders ran; empty sends no orders")
	flag.StringVar(&l.engine, "engine", "", "an engine stand-in to ask directly too, for comparison")
	flag.StringVar(&keys, "keys", "sk-example-menu,sk-example-rider", "API keys")
	flag.StringVar(&l.model, "model", "menu-assistant", "model")
	flag.DurationVar(&l.duration, "duration", 10*time.Second, "how long to send; at most 10 minutes")
	flag.IntVar(&l.workers, "workers", 12, "callers at once; at most 1000")
	flag.DurationVar(&l.pause, "pause", 50*time.Millisecond, "pause of each caller between requests")
	flag.IntVar(&l.tokens, "tokens", 24, "tokens of each answer")
	flag.IntVar(&l.prompts, "prompts", 8, "prompts that each caller returns to")
	flag.IntVar(&l.promptBytes, "bytes", 8192, "bytes of a prompt's returning part")
	flag.Uint64Var(&l.seed, "seed", 1, "seed of the traffic")
	flag.StringVar(&l.label, "label", "", "label in the line printed")
	flag.Parse()
	l.callers, l.services, l.keys = list(callers), list(services), list(keys)
	if err := l.check(); err != nil {
		fmt.Fprintln(os.Stderr, "thymeload:", trace.UserMessage(err))
		os.Exit(2)
	}
	l.run()
	line := l.figures.line(l.label)
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil || line.Wrong > 0 {
		os.Exit(1)
	}
}

func list(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

func (l *load) check() error {
	switch {
	case len(l.callers) == 0 || len(l.keys) == 0:
		return trace.BadParameter("-callers and -keys must not be empty")
	case l.duration <= 0 || l.duration > 10*time.Minute:
		return trace.BadParameter("-duration must be up to 10 minutes")
	case l.workers < 1 || l.workers > 1000:
		return trace.BadParameter("-workers must be 1 to 1000")
	case l.prompts < 1 || l.tokens < 1 || l.promptBytes < 1:
		return trace.BadParameter("-prompts, -tokens and -bytes must be at least 1")
	}
	return nil
}

// run sends traffic for the duration and then checks the orders.
func (l *load) run() {
	ctx, cancel := context.WithTimeout(context.Background(), l.duration)
	defer cancel()
	l.figures.init()
	var workers sync.WaitGroup
	for i := range l.workers {
		w := &worker{load: l, id: i, random: rand.New(rand.NewPCG(l.seed, uint64(i))), key: l.keys[i%len(l.keys)]}
		workers.Go(func() { w.run(ctx) })
	}
	workers.Wait()
	l.checkOrders()
}

// worker is one caller with its recurring prompts.
type worker struct {
	*load
	id     int
	random *rand.Rand
	key    string
	orders int
}

func (w *worker) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if len(w.services) > 0 && n%4 == 3 {
			w.order()
		} else {
			w.chat()
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.pause/2 + time.Duration(w.random.Int64N(int64(w.pause)+1))):
		}
	}
}

// daemon picks a random entry daemon, as the platform's load balancer would.
func (w *worker) daemon() string { return "http://" + w.callers[w.random.IntN(len(w.callers))] }
