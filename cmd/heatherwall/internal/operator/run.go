package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"heatherwall.example/document"
)

// command is one subcommand. It adds its flags to c, parses args and does its work.
type command struct {
	arguments string
	summary   string
	run       func(c *invocation, args []string) error
}

var commands = map[string]command{
	"check":   {"FILE", "check a document without sending it", runCheck},
	"diff":    {"FILE", "compare a document with the one in force", runDiff},
	"apply":   {"FILE", "send the sections that a document changes", runApply},
	"get":     {"", "write the document in force, or an older one", runGet},
	"approve": {"CANDIDATE", "show or approve a member that wants to join", runApprove},
	"history": {"", "list decided changes", runHistory},
	"status":  {"", "show control replicas, gateways and failure domains that are out", runStatus},
	"domain":  {"out|in NAME", domainSummary, runDomain},
	"key":     {"new|show FILE", "make a signing key, or show its public part", runKey},
}

// call is one run of a subcommand.
type invocation struct {
	name    string
	command command
	flags   *flag.FlagSet
	options options
	// capacity is what a check found, for the JSON output; nil without a check.
	capacity *capacityResult
	stdout   io.Writer
	stderr   io.Writer
}

// Run runs the subcommand in args[0]. known is false, and nothing happens, if there is no such subcommand. The exit
// code is 0 done, 1 refused, 2 wrong usage, 3 outcome unknown.
func Run(args []string, stdout, stderr io.Writer) (exit int, known bool) {
	if len(args) == 0 {
		return exitUsage, false
	}
	chosen, ok := commands[args[0]]
	if !ok {
		return exitUsage, false
	}
	c := &invocation{name: args[0], command: chosen, stdout: stdout, stderr: stderr}
	c.flags = flag.NewFlagSet(c.name, flag.ContinueOnError)
	c.flags.SetOutput(io.Discard)
	err := chosen.run(c, args[1:])
	return c.finish(err), true
}

func (c *invocation) finish(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp()
		return exitOK
	}
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *UsageError
	var file *FileError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &usage), errors.As(err, &file):
		return exitUsage
	case errors.As(err, &unknown):
		return exitOutcomeUnknown
	}
	return exitFailed
}

func (c *invocation) writeHelp() {
	fmt.Fprintf(c.stdout, "usage: heatherwall %s [flags] %s\n\n%s.\n\n", c.name, c.command.arguments, c.command.summary)
	c.flags.SetOutput(c.stdout)
	c.flags.PrintDefaults()
	fmt.Fprintf(c.stdout, "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown.\n")
}

// parse reads flags before, between and after the arguments and checks the number of arguments.
func (c *invocation) parse(args []string, want int) ([]string, error) {
	var positional []string
	for {
		if err := c.flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, c.usageError(err.Error())
		}
		if c.flags.NArg() == 0 {
			break
		}
		positional = append(positional, c.flags.Arg(0))
		args = c.flags.Args()[1:]
	}
	if len(positional) != want {
		return nil, c.usageError(fmt.Sprintf("expected %d arguments, got %d", want, len(positional)))
	}
	return positional, nil
}

func (c *invocation) usageError(fault string) error {
	return &UsageError{Command: c.name, Reason: fault}
}

// deadline bounds the whole subcommand.
func (c *invocation) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.options.timeout)
}

// readDocument reads and checks a document file. A file with problems is refused.
func readDocument(file string) (*document.Document, error) {
	text, err := readFile(file, document.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	d, problems := document.Parse(file, text)
	if len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}
