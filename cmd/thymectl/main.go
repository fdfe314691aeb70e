// Command thymectl is the operator's client:
//
//	thymectl 'show targets where pool = "menu"'
//	thymectl -json 'why request 01J...'
//	thymectl apply configuration.yaml
//	thymectl                # reads statements, one a line
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/report"
)

// credentialVariable names the environment variable with the credential.
const credentialVariable = "THYMEWIND_CREDENTIAL"

// errRefused is returned if the daemon refused; the reason has been printed.
var errRefused = errors.New("refused")

// client talks to one daemon's operator listener.
type client struct {
	base       string
	credential string
	json       bool
	out        io.Writer
}

func main() {
	var c client
	var timeout time.Duration
	flag.StringVar(&c.base, "at", "http://127.0.0.1:9080", "a daemon's operator listener")
	flag.BoolVar(&c.json, "json", false, "print JSON")
	flag.DurationVar(&timeout, "timeout", 15*time.Second, "how long to wait for each answer")
	flag.Usage = usage
	flag.Parse()
	c.credential = os.Getenv(credentialVariable)
	c.out = os.Stdout
	if err := c.run(flag.Args(), timeout); err != nil {
		if !errors.Is(err, errRefused) {
			fmt.Fprintln(os.Stderr, "thymectl:", trace.UserMessage(err))
		}
		os.Exit(1)
	}
}

func usage() {
	fmt.Fprintf(os.Stderr, "usage: thymectl [flags] STATEMENT | apply FILE | wait [POOL...]\nThe credential is read from %s. The statement help tells the language.\n", credentialVariable)
	flag.PrintDefaults()
}

func (c client) run(args []string, timeout time.Duration) error {
	bounded := func(do func(ctx context.Context) error) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return do(ctx)
	}
	switch {
	case len(args) == 0:
		return c.interactive(bounded)
	case args[0] == "apply" && len(args) == 2:
		return bounded(func(ctx context.Context) error { return c.apply(ctx, args[1]) })
	}
	if args[0] == "wait" {
		return bounded(func(ctx context.Context) error { return c.wait(ctx, args[1:]) })
	}
	return bounded(func(ctx context.Context) error { return c.statement(ctx, strings.Join(args, " ")) })
}

// interactive reads statements until the input ends.
func (c client) interactive(bounded func(func(context.Context) error) error) error {
	lines := bufio.NewScanner(os.Stdin)
	for fmt.Fprint(os.Stderr, "thymewind> "); lines.Scan(); fmt.Fprint(os.Stderr, "thymewind> ") {
		line := strings.TrimSpace(lines.Text())
		switch line {
		case "":
			continue
		case "quit", "exit":
			return nil
		}
		err := bounded(func(ctx context.Context) error { return c.statement(ctx, line) })
		if err != nil && !errors.Is(err, errRefused) {
			fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		}
	}
	return trace.Wrap(lines.Err())
}

func (c client) statement(ctx context.Context, text string) error {
	return c.post(ctx, "/v1/query", struct {
		Statement string `json:"statement"`
	}{text})
}

// post sends a request and prints the daemon's report.
func (c client) post(ctx context.Context, path string, body any) error {
	r, err := c.send(ctx, path, body)
	if err != nil {
		return err
	}
	if c.json {
		err = json.NewEncoder(c.out).Encode(r)
	} else {
		err = c.print(r)
	}
	if r.Error != "" {
		return errRefused
	}
	return trace.Wrap(err)
}

// send sends a request and returns the daemon's report.
func (c client) send(ctx context.Context, path string, body any) (report.Report, error) {
	var r report.Report
	request, err := sling.New().Base(c.base).Post(path).Set("Authorization", "Bearer "+c.credential).BodyJSON(body).Request()
	if err != nil {
		return r, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return r, trace.ConnectionProblem(err, "no answer from %s; a change sent there may have been accepted, ask with: show audit last 5", c.base)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return r, trace.ConnectionProblem(err, "the answer of %s was cut", c.base)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, trace.BadParameter("%s answers %d: %s", c.base, response.StatusCode, strings.TrimSpace(string(data)))
	}
	return r, nil
}

func (c client) print(r report.Report) error {
	switch {
	case r.Error != "":
		fmt.Fprintln(c.out, "refused:", r.Error)
	case r.Revision > 0:
		fmt.Fprintf(c.out, "accepted as revision %d (change %s)\n", r.Revision, r.Change)
	case r.Text != "":
		fmt.Fprintln(c.out, r.Text)
	default:
		w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, strings.ToUpper(strings.Join(r.Columns, "\t")))
		for _, row := range r.Rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if err := w.Flush(); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, box := range r.Missing {
		fmt.Fprintf(c.out, "box %s did not answer\n", box)
	}
	return nil
}
