package membership

import (
	"context"

	"foxhall/internal/program"
)

// Ping is a heartbeat.
type Ping struct {
	Sender Record
	// Target is the cohort that the sender expects at the address, empty if
	// unknown.
	Target  program.Cohort
	Records []Record
}

// Pong is the response to a Ping.
type Pong struct {
	Responder Record
	Records   []Record
}

// IndirectPing requests an indirect probe of Target.
type IndirectPing struct {
	Sender        Record
	Target        program.Cohort
	TargetAddress string
}

// IndirectPong is the response to an IndirectPing. Target is set if it was reached.
type IndirectPong struct {
	Reached bool
	Target  Record
}

// Transport carries the protocol's messages to an address.
type Transport interface {
	Ping(ctx context.Context, address string, m Ping) (Pong, error)
	PingVia(ctx context.Context, address string, m IndirectPing) (IndirectPong, error)
	// Join returns all records of the instance at the address.
	Join(ctx context.Context, address string, sender Record) (Pong, error)
}
