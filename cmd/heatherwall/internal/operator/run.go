package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"heatherwall.example/document"
)

// command describes a subcommand. run registers the flags on c, parses args and executes the subcommand.
type command struct {
	arguments string
	summary   string
	run       func(c *invocation, args []string) error
}

var commands = map[string]command{
	"check":   {"FILE", "validate a document without sending it", runCheck},
	"diff":    {"FILE", "compare a document with the one in force", runDiff},
	"apply":   {"FILE", "submit the sections that a document file changes", runApply},
	"get":     {"", "print the document in force or an older revision", runGet},
	"approve": {"CANDIDATE", "show or approve a candidate for membership", runApprove},
	"history": {"", "list decided changes", runHistory},
	"status":  {"", "show control replicas, gateways and failure domains that are out", runStatus},
	"domain":  {"out|in NAME", domainSummary, runDomain},
	"key":     {"new|show FILE", "generate a signing key or show its public key", runKey},
}

// invocation is the state of one execution of a subcommand.
type invocation struct {
	name    string
	command command
	flags   *flag.FlagSet
	options options
	// capacity is the result of the capacity check, for the JSON output; nil if no check was made.
	capacity *capacityResult
	stdout   io.Writer
	stderr   io.Writer
}

// Run runs the subcommand named by args[0]. If there is no such subcommand, it does nothing and known is false. The
// exit code is 0 for success, 1 for refused or failed, 2 for a usage error and 3 for an unknown outcome.
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

// finish prints the help text or the error, if there is one, and returns the exit code.
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
	fmt.Fprintf(c.stdout, "\nExit codes: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown.\n")
}

// parse accepts flags before, between and after the positional arguments. It returns the positional arguments, and an
// error if their number is not want.
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

func (c *invocation) usageError(reason string) error {
	return &UsageError{Command: c.name, Reason: reason}
}

// timeoutContext returns a context that ends when the timeout for the whole subcommand expires.
func (c *invocation) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.options.timeout)
}

// readDocument reads and validates a document file. The error for an invalid file is of type document.Problems.
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
