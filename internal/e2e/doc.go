// Package e2e tests the scheduler with real processes: the built binary runs a few instances and the
// stand-ins on loopback. It checks what the scheduler guarantees to its users. The package holds
// tests only.
package e2e
