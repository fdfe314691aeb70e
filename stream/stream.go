// Package stream validates an engine's stream of answer frames, so that only the
// complete answer to the right request is reported as a success.
//
//	c := stream.Checker{Request: "r1", Attempt: 1, Version: "v7"}
//	text, err := c.Accept(frame)
//	...
//	if !c.Complete() { // the stream broke off; resume at c.Offset()
//	}
package stream

import (
	"errors"

	"github.com/gravitational/trace"
)

// The kinds of frame.
const (
	// KindStart opens a stream and names the run's weight version and cache scope.
	KindStart = "start"
	// KindPiece carries text.
	KindPiece = "piece"
	// KindEnd ends a complete answer.
	KindEnd = "end"
	// KindError ends a failed run.
	KindError = "error"
)

// ErrRunFailed says that the engine reported the run as failed before its answer was
// complete. The run can't be resumed.
var ErrRunFailed = errors.New("the engine reports that the run failed")

// Frame is one message of an engine's stream, encoded as a line of JSON.
type Frame struct {
	Kind    string `json:"kind"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Version is the weight version of the run. Start frames only.
	Version string `json:"version,omitempty"`
	// Scope is the cache scope that the run reads and writes. Start frames only.
	Scope string `json:"scope,omitempty"`
	// Offset is the byte offset of Text in the answer.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Total is the answer's length in bytes. End frames only.
	Total  int    `json:"total,omitempty"`
	Finish string `json:"finish,omitempty"`
	Usage  Usage  `json:"usage,omitzero"`
	Error  string `json:"error,omitempty"`
}

// Usage is a run's token counts and prefill times as the engine reports them.
type Usage struct {
	Prompt int `json:"prompt"`
	// Reused is the part of Prompt that was in the engine's cache.
	Reused int `json:"reused"`
	// Imported is the part of Prompt that came from a store box.
	Imported   int `json:"imported"`
	Completion int `json:"completion"`
	// PrefillMillis and ImportMillis are the times taken to compute and to import
	// the prompt's cache.
	PrefillMillis float64 `json:"prefill_ms,omitempty"`
	ImportMillis  float64 `json:"import_ms,omitempty"`
}

// Checker validates the frames of one request. Set the exported fields before the
// first Accept. It is not safe for concurrent use.
type Checker struct {
	Request string
	Attempt int
	// Version is the weight version that the run must use.
	Version string
	// Scope is the cache scope of the request's client account and Version.
	Scope string

	// offset is the length of the text accepted so far, over all attempts.
	offset int
	// started is set once this attempt's start frame was accepted.
	started bool
	end     Frame
	ended   bool
}

// NextAttempt starts another attempt or resume, which continues the text accepted so far.
func (c *Checker) NextAttempt(attempt int) {
	c.Attempt = attempt
	c.started = false
}

// ResumeAt sets the offset at which a resumed answer continues.
func (c *Checker) ResumeAt(offset int) { c.offset = offset }

// Offset returns the length of the text accepted so far.
func (c *Checker) Offset() int { return c.offset }

// Started reports whether the current attempt's start frame was accepted.
func (c *Checker) Started() bool { return c.started }

// Complete reports whether the end frame was accepted, so that the text is complete.
func (c *Checker) Complete() bool { return c.ended }

// End returns the accepted end frame.
func (c *Checker) End() Frame { return c.end }

// Accept validates one frame and returns the new text in it, without text that was
// accepted before. A gap, a frame of another run, another weight version or scope,
// or a frame after the end is a trace.CompareFailed error, after which nothing
// more of this stream may be relayed.
func (c *Checker) Accept(f Frame) (string, error) {
	if c.ended {
		return "", trace.CompareFailed("a frame arrived after the end of request %s", c.Request)
	}
	if f.Request != c.Request || f.Attempt != c.Attempt {
		return "", trace.CompareFailed("a frame of %s/%d arrived on the stream of %s/%d", f.Request, f.Attempt, c.Request, c.Attempt)
	}
	if f.Kind != KindStart && f.Kind != KindError && !c.started {
		return "", trace.CompareFailed("a %q frame arrived before the start frame", f.Kind)
	}
	switch f.Kind {
	case KindStart:
		return "", c.start(f)
	case KindPiece:
		return c.piece(f)
	case KindEnd:
		return "", c.finish(f)
	case KindError:
		return "", trace.Wrap(ErrRunFailed, "%s", f.Error)
	}
	return "", trace.BadParameter("unknown frame kind %q", f.Kind)
}

func (c *Checker) start(f Frame) error {
	if f.Version != c.Version || f.Scope != c.Scope {
		return trace.CompareFailed("the run uses version %q and scope %q, want %q and %q", f.Version, f.Scope, c.Version, c.Scope)
	}
	c.started = true
	return nil
}

func (c *Checker) piece(f Frame) (string, error) {
	if f.Offset > c.offset {
		return "", trace.CompareFailed("%d bytes are missing before offset %d", f.Offset-c.offset, f.Offset)
	}
	known := c.offset - f.Offset
	if known >= len(f.Text) {
		return "", nil
	}
	text := f.Text[known:]
	c.offset += len(text)
	return text, nil
}

func (c *Checker) finish(f Frame) error {
	if f.Total != c.offset {
		return trace.CompareFailed("the answer has %d bytes, but %d arrived", f.Total, c.offset)
	}
	c.end = f
	c.ended = true
	return nil
}
