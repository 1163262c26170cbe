package command

import (
	"github.com/urfave/cli/v3"

	"foxhall/internal/plan"
)

func plansCommand() *cli.Command {
	return listCommands{name: plan.ListName}.command("edit the list of customers' plans")
}
