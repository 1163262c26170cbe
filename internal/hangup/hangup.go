// Package hangup receives SIGHUP from the initialization of the program on.
//
// It prevents the following failure: the signal that tells an instance of changed settings arrives
// while the instance starts, before any handler is installed, and terminates it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal until it is read; further ones tell nothing more.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel of received signals.
func Signals() <-chan os.Signal { return signals }

// Default restores the signal's default effect, which is to terminate the program. Commands that run
// in a terminal need it.
func Default() { signal.Reset(syscall.SIGHUP) }
