package intake

import (
	"time"

	"github.com/thymewind/thymewind/document"
)

// What limits are unless settings say otherwise.
const (
	// connectionBytes is what a connection takes in the process while its request is served: stacks,
	// buffers and a usual head.
	connectionBytes = 32 << 10
	// receiveBytes is the kernel's receive buffer of a connection. A client 6 ms away sends 5 MB a
	// second with it.
	receiveBytes = 32 << 10
	// memoryShare is the share of the box's memory for connections and their receive buffers, besides
	// that of package heldbytes for bodies.
	memoryShare = 0.25
	// slowAfter is how long a request may be on its way before it may be ended for another one.
	slowAfter = 500 * time.Millisecond
	// bodyTimeout is how long a body may take that its handler does not read, as the request is refused.
	bodyTimeout = 10 * time.Second
	// callersPart, peersPart and operatorsPart are the parts of the descriptors that listeners may
	// take. The rest is left for targets, other boxes and files.
	callersPart, peersPart, operatorsPart = 2, 4, 16
	// operatorsMemoryPart is the part of the connections that there is memory for which a listener for
	// operators may take; callers and other boxes may take as many as there are.
	operatorsMemoryPart = 8
	// minConnections is the least limit of a listener that is not set.
	minConnections = 8
)

// Limits bound what clients have a process hold. What is zero follows from the box.
type Limits struct {
	// Connections is how many connections callers may have, PeerConnections other boxes, and
	// OperatorConnections each listener for operators, probes and metrics.
	Connections         int `yaml:"connections"`
	PeerConnections     int `yaml:"peer_connections"`
	OperatorConnections int `yaml:"operator_connections"`
	// ReceiveBytes is the kernel's receive buffer of a connection.
	ReceiveBytes int `yaml:"receive_bytes"`
	// SlowAfter is how long a request may be on its way before it may be ended to make room.
	SlowAfter time.Duration `yaml:"slow_after"`
	// BodyTimeout is how long a body may be on its way that the handler of its request does not read.
	BodyTimeout time.Duration `yaml:"body_timeout"`
}

// For returns the limits at a box with this much memory, in bytes, and this many descriptors; zero is
// unknown and limits nothing.
func (l Limits) For(memory int64, descriptors int) Limits {
	if l.Connections == 0 {
		l.Connections = fewer(part(descriptors, callersPart), byMemory(memory))
	}
	if l.PeerConnections == 0 {
		l.PeerConnections = fewer(part(descriptors, peersPart), byMemory(memory))
	}
	if l.OperatorConnections == 0 {
		l.OperatorConnections = fewer(part(descriptors, operatorsPart), part(byMemory(memory), operatorsMemoryPart))
	}
	if l.ReceiveBytes == 0 && memory > 0 {
		l.ReceiveBytes = receiveBytes
	}
	if l.SlowAfter == 0 {
		l.SlowAfter = slowAfter
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = bodyTimeout
	}
	return l
}

// Check adds a finding for each limit that makes no sense.
func (l Limits) Check(d *document.Document) {
	for _, limit := range []struct {
		path  string
		value int
	}{
		{"clients.connections", l.Connections},
		{"clients.peer_connections", l.PeerConnections},
		{"clients.operator_connections", l.OperatorConnections},
		{"clients.receive_bytes", l.ReceiveBytes},
	} {
		if limit.value < 0 {
			d.Add(limit.path, "must not be negative")
		}
	}
	d.CheckWithin("clients.slow_after", l.SlowAfter, 0, time.Hour)
	d.CheckWithin("clients.body_timeout", l.BodyTimeout, 0, time.Hour)
}

// of returns the limit of a listener; zero means none.
func (l Limits) of(share Share) int {
	switch share {
	case Peers:
		return l.PeerConnections
	case Operators:
		return l.OperatorConnections
	default:
		return l.Connections
	}
}

// part returns a part of a number of descriptors or connections, zero of zero.
func part(number, of int) int {
	if number == 0 {
		return 0
	}
	return max(number/of, minConnections)
}

// byMemory returns how many connections there is memory for, zero if that is unknown.
func byMemory(memory int64) int {
	if memory == 0 {
		return 0
	}
	return max(int(memoryShare*float64(memory)/(connectionBytes+receiveBytes)), minConnections)
}

// fewer returns the lower of two limits; zero is none.
func fewer(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
