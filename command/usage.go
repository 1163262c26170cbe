package command

import (
	"github.com/urfave/cli/v3"

	"foxhall/internal/usage"
)

func usageCommand() *cli.Command {
	return listCommands{name: usage.ListName}.command("edit the list of what each plan may use")
}
