package membership

import (
	"context"

	"foxhall/internal/program"
)

// Ping is a heartbeat.
type Ping struct {
	Sender Record
	// Target is the cohort that the sender expects at the address, empty when
	// it knows none.
	Target  program.Cohort
	Records []Record
}

// Pong answers a Ping.
type Pong struct {
	Responder Record
	Records   []Record
}

// Via asks for an indirect probe of Target.
type IndirectPing struct {
	Sender        Record
	Target        program.Cohort
	TargetAddress string
}

// ViaResult answers a Via. Target is set when it was reached.
type IndirectPong struct {
	Reached bool
	Target  Record
}

// Transport carries the protocol's messages to an address.
type Transport interface {
	Ping(ctx context.Context, address string, m Ping) (Pong, error)
	PingVia(ctx context.Context, address string, m IndirectPing) (IndirectPong, error)
	// Join returns all the records held at the address.
	Join(ctx context.Context, address string, sender Record) (Pong, error)
}
