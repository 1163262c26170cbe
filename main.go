// Foxhall schedules agent programs onto model engines and tool services.
package main

import (
	"context"
	"os"

	"foxhall/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args))
}
