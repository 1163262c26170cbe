// Package joined tests all packages together: instances in two data centres run against the
// stand-ins in one process, on virtual time, with faults injected at the interfaces. It checks what
// the scheduler guarantees to its users. The package holds tests only.
package joined
