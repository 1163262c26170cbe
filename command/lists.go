package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/config"
	"foxhall/internal/listfile"
	"foxhall/internal/plan"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

// Timeouts and default limits of the commands that read and edit the lists.
const (
	storeCallTimeout    = 5 * time.Second
	defaultEditTimeout  = 30 * time.Second
	defaultWaitTimeout  = 30 * time.Second
	defaultHistoryLimit = 20
)

// baseLinePattern matches the comment line that records the version a list file is based on.
var baseLinePattern = regexp.MustCompile(`(?m)^# base: ([0-9]+)$`)

// listCommands implements the commands of one of the two lists.
type listCommands struct {
	// name is plan.ListName or usage.ListName.
	name string
}

func (l listCommands) command(summary string) *cli.Command {
	return &cli.Command{
		Name:  l.name,
		Usage: summary,
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the accepted list with its version",
				Flags:  l.commonFlags(&cli.Uint64Flag{Name: "version", Usage: "an earlier `VERSION`; 0 is the last accepted"}),
				Action: l.get,
			},
			{
				Name: "diff", Usage: "show what applying a file would change", ArgsUsage: "FILE",
				Flags:  l.commonFlags(),
				Action: l.diff,
			},
			{
				Name: "apply", Usage: "submit a file as the new list, or roll back to an earlier version", ArgsUsage: "[FILE]",
				Flags:  l.commonFlags(l.applyFlags()...),
				Action: l.apply,
			},
			{
				Name: "history", Usage: "list the last edits of both lists, newest first",
				Flags:  l.commonFlags(&cli.IntFlag{Name: "limit", Value: defaultHistoryLimit, Usage: "at most `N` edits"}),
				Action: l.history,
			},
		},
	}
}

func (l listCommands) commonFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "store", Required: true, Usage: "`URL` of the object API", Sources: cli.EnvVars("FOXHALL_STORE")},
		&cli.StringFlag{Name: "cache", Value: defaultCacheFolder(), Usage: "`FOLDER` that caches what was read, empty for no cache"},
		&cli.DurationFlag{Name: "timeout", Value: defaultEditTimeout, Usage: "how long to retry while the object API fails"},
	}, extra...)
}

func (l listCommands) applyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Required: true, Usage: "your `NAME`, shown in conflicts and in the history", Sources: cli.EnvVars("FOXHALL_OPERATOR")},
		&cli.StringFlag{Name: "note", Usage: "a `TEXT` for the history, such as a commit"},
		&cli.Uint64Flag{Name: "base", Usage: "the `VERSION` that the file is based on, instead of that in the file's \"# base:\" line"},
		&cli.StringFlag{Name: "with", Usage: "the `FILE` of the other list, to be accepted in the same edit"},
		&cli.Uint64Flag{Name: "rollback", Usage: "restore the list of `VERSION`, as a new edit"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the edit is in force on every instance"},
		&cli.StringFlag{Name: "instance", Usage: "`URL` of any instance's operators' endpoint, for --wait"},
		operatorKeyFlag(),
		&cli.DurationFlag{Name: "wait-timeout", Value: defaultWaitTimeout, Usage: "how long to wait"},
	}
}

func newEditor(c *cli.Command) *config.Editor {
	return config.NewCachedEditor(store.NewHTTP(c.String("store"), storeCallTimeout), c.String("cache"))
}

// defaultCacheFolder returns a folder in the operating system's cache folder of the user, or the
// empty string (no cache) if the system has none.
func defaultCacheFolder() string {
	folder, err := os.UserCacheDir()
	if err != nil {
		return ""
	}
	return filepath.Join(folder, "foxhall", "chunks")
}

func (l listCommands) get(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	pair, version, err := newEditor(c).Get(ctx, c.Uint64("version"))
	if err != nil {
		return err
	}
	text, err := l.format(pair)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "# base: %d\n\n%s", version, text)
	return err
}

func (l listCommands) diff(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	file, err := readListFile(c.Args().First())
	if err != nil {
		return err
	}
	editor := newEditor(c)
	base, _, err := editor.Get(ctx, file.base)
	if err != nil {
		return err
	}
	proposed := base
	if err := l.parse(file.text, &proposed); err != nil {
		return withExitCode(err)
	}
	changes := config.Diff(base, proposed)
	printChanges(c.Root().Writer, changes)
	if err := config.Validate(proposed.Plans, proposed.Usage); err != nil {
		return withExitCode(err)
	}
	return nil
}

func (l listCommands) history(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	records, err := newEditor(c).History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	w := c.Root().Writer
	for _, r := range records {
		fmt.Fprintf(w, "version %d  %s  %s  %d changed", r.Version, r.Edit.Time.Format(time.RFC3339), r.Edit.Operator, r.Edit.Changed)
		if r.Edit.Note != "" {
			fmt.Fprintf(w, "  %s", r.Edit.Note)
		}
		fmt.Fprintln(w)
		for _, change := range r.Edit.Changes {
			fmt.Fprintf(w, "    %s\n", change)
		}
		if omitted := r.Edit.Changed - len(r.Edit.Changes); omitted > 0 {
			fmt.Fprintf(w, "    and %d more\n", omitted)
		}
	}
	return nil
}

func (l listCommands) format(pair config.Lists) ([]byte, error) {
	if l.name == plan.ListName {
		return pair.Plans.Format()
	}
	return pair.Usage.Format()
}

// parse parses the text of this list into the pair.
func (l listCommands) parse(text []byte, pair *config.Lists) (err error) {
	if l.name == plan.ListName {
		pair.Plans, err = plan.Parse(text)
		return err
	}
	pair.Usage, err = usage.Parse(text)
	return err
}

// otherList returns the commands of the other list.
func (l listCommands) otherList() listCommands {
	if l.name == plan.ListName {
		return listCommands{name: usage.ListName}
	}
	return listCommands{name: plan.ListName}
}

// selectFrom returns a pair with only this list set, which is the form that a proposal of one list
// has.
func (l listCommands) selectFrom(pair config.Lists) config.Lists {
	if l.name == plan.ListName {
		return config.Lists{Plans: pair.Plans}
	}
	return config.Lists{Usage: pair.Usage}
}

// listFile is a file edited by an operator that contains one list.
type listFile struct {
	path string
	text []byte
	// base is the version in the file's base line; hasBase reports whether the file has such a line.
	base    uint64
	hasBase bool
}

func readListFile(path string) (*listFile, error) {
	if path == "" {
		return nil, cli.Exit("expected the path of a list file as argument, found none", ExitUsage)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, cli.Exit(err.Error(), ExitUsage)
	}
	file := &listFile{path: path, text: text}
	if match := baseLinePattern.FindSubmatch(text); match != nil {
		file.base, err = strconv.ParseUint(string(match[1]), 10, 64)
		file.hasBase = err == nil
	}
	return file, nil
}

// updateBase writes the accepted version into the file's base line, if the file has one.
func (f *listFile) updateBase(version uint64) error {
	if !f.hasBase || f.base == version {
		return nil
	}
	text := baseLinePattern.ReplaceAll(f.text, fmt.Appendf(nil, "# base: %d", version))
	if bytes.Equal(text, f.text) {
		return nil
	}
	return errors.Wrap(os.WriteFile(f.path, text, 0o644), "update the base line")
}

func printChanges(w io.Writer, changes []config.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
		for _, key := range change.Keys {
			fmt.Fprintf(w, "    %s: %s -> %s\n", key.Key, key.From, key.To)
		}
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
}

// withExitCode gives conflicts and invalid lists their exit codes; other errors are returned
// unchanged.
func withExitCode(err error) error {
	var conflict *config.ConflictError
	var problems listfile.Problems
	switch {
	case errors.As(err, &conflict):
		return cli.Exit(err.Error(), ExitConflict)
	case errors.As(err, &problems):
		return cli.Exit(strings.TrimSpace(err.Error()), ExitUsage)
	default:
		return err
	}
}
