package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"foxhall/internal/config"
)

// apply submits one edit of one list, or of both lists if --with is given.
func (l listCommands) apply(ctx context.Context, c *cli.Command) error {
	if c.Bool("wait") && c.String("instance") == "" {
		return cli.Exit("--wait requires --instance", ExitUsage)
	}
	editCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	proposal, files, err := l.buildProposal(editCtx, c)
	if err != nil {
		return withExitCode(err)
	}
	accepted, err := newEditor(c).Apply(editCtx, *proposal)
	if err != nil {
		return withExitCode(err)
	}
	printAccepted(c, accepted)
	for _, file := range files {
		if err := file.updateBase(accepted.Version); err != nil {
			return err
		}
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, accepted.Version)
}

// buildProposal reads the edit from the given files, or from an earlier version for --rollback.
// It also returns the files, whose base lines are updated once the edit is accepted.
func (l listCommands) buildProposal(ctx context.Context, c *cli.Command) (*config.Proposal, []*listFile, error) {
	proposal := &config.Proposal{Operator: c.String("operator"), Note: c.String("note")}
	if c.IsSet("rollback") {
		err := l.proposeRollback(ctx, c, proposal)
		return proposal, nil, err
	}
	file, err := readListFile(c.Args().First())
	if err != nil {
		return nil, nil, err
	}
	pair := config.Lists{}
	if err := l.parse(file.text, &pair); err != nil {
		return nil, nil, err
	}
	files := []*listFile{file}
	if path := c.String("with"); path != "" {
		second, err := readListFile(path)
		if err != nil {
			return nil, nil, err
		}
		if err := l.otherList().parse(second.text, &pair); err != nil {
			return nil, nil, err
		}
		files = append(files, second)
	}
	proposal.Plans, proposal.Usage = pair.Plans, pair.Usage
	proposal.Base, err = baseVersion(c, files)
	return proposal, files, err
}

// baseVersion returns the version that the operator's edit is based on. Without a base version, an
// edit accepted from another operator in the meantime would be overwritten silently.
func baseVersion(c *cli.Command, files []*listFile) (uint64, error) {
	if c.IsSet("base") {
		return c.Uint64("base"), nil
	}
	base := files[0].base
	for _, file := range files {
		if !file.hasBase {
			return 0, cli.Exit(file.path+`: no "# base: VERSION" line: give --base (0 for the first edit), or start from the output of "get"`, ExitUsage)
		}
		if file.base != base {
			return 0, cli.Exit("the two files have different base lines: give --base", ExitUsage)
		}
	}
	return base, nil
}

// proposeRollback fills the proposal with the list at the version given by --rollback, based on the
// latest accepted version.
func (l listCommands) proposeRollback(ctx context.Context, c *cli.Command, proposal *config.Proposal) error {
	editor := newEditor(c)
	target := c.Uint64("rollback")
	earlier, version, err := editor.Get(ctx, target)
	if err != nil {
		return err
	}
	_, current, err := editor.Get(ctx, 0)
	if err != nil {
		return err
	}
	list := l.selectFrom(earlier)
	proposal.Plans, proposal.Usage, proposal.Base = list.Plans, list.Usage, current
	if proposal.Note == "" {
		proposal.Note = fmt.Sprintf("rollback to version %d", version)
	}
	return nil
}

func printAccepted(c *cli.Command, accepted config.Accepted) {
	w := c.Root().Writer
	switch {
	case accepted.Unchanged:
		fmt.Fprintf(w, "nothing to change at version %d\n", accepted.Version)
	case accepted.Repeated:
		fmt.Fprintf(w, "already accepted as version %d\n", accepted.Version)
	default:
		fmt.Fprintf(w, "accepted as version %d\n", accepted.Version)
		printChanges(w, accepted.Changes)
	}
}
