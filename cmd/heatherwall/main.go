// Command heatherwall is the single binary of the system. Its subcommands run the gateway on an entry instance, run a
// control replica, and provide the operators' command-line client.
//
// Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings, 3 outcome unknown.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"heatherwall.example/cmd/heatherwall/internal/operator"
	"heatherwall.example/control"
	"heatherwall.example/gateway"
	"heatherwall.example/platform"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Exit codes of the daemons. The operators' client uses the same values.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: heatherwall COMMAND [flags]

Daemons:
  gateway   serve callers on an entry instance
  control   run a control replica, which stores the control state on disk

Operators:
  check, diff, apply, get, approve, history, status, domain, key

Run a command with -h to list its flags.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "gateway":
		return runGateway(args[1:], stdout, stderr)
	case "control":
		return runControl(args[1:], stdout, stderr)
	case "-h", "-help", "--help", "help":
		fmt.Fprint(stdout, usage)
		return exitOK
	}
	if code, known := operator.Run(args, stdout, stderr); known {
		return code
	}
	fmt.Fprintf(stderr, "heatherwall: unknown command %q\n\n%s", args[0], usage)
	return exitUsage
}

// daemonFlags holds the flags that both daemons share.
type daemonFlags struct {
	settings  string
	checkOnly bool
	platform  bool
}

func (f *daemonFlags) register(set *flag.FlagSet) {
	set.StringVar(&f.settings, "settings", "", "YAML `file` with the settings of this instance (required)")
	set.BoolVar(&f.platform, "platform", false, "use the API and headers of the users' platform instead of heatherwall's own; see docs/platform.md")
	set.BoolVar(&f.checkOnly, "check", false, "validate the settings and exit")
}

// parse parses the flags and reads the settings file. If ok is false, the caller must exit with the returned code.
func (f *daemonFlags) parse(set *flag.FlagSet, args []string, stderr io.Writer) (text []byte, code int, ok bool) {
	set.SetOutput(stderr)
	if err := set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK, false
		}
		return nil, exitUsage, false
	}
	if f.settings == "" || set.NArg() > 0 {
		fmt.Fprintf(stderr, "%s: expected -settings FILE and no other arguments\n", set.Name())
		return nil, exitUsage, false
	}
	text, err := os.ReadFile(f.settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, exitUsage, false
	}
	return text, exitOK, true
}

func runControl(args []string, stdout, stderr io.Writer) int {
	set := flag.NewFlagSet("heatherwall control", flag.ContinueOnError)
	var flags daemonFlags
	flags.register(set)
	bootstrap := set.Bool("bootstrap", false, "create the control group; use it once, with an empty data folder, while every peer is running and has no data")
	text, code, ok := flags.parse(set, args, stderr)
	if !ok {
		return code
	}
	s, err := settings.ParseControl(flags.settings, text)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return runDaemon(flags, s.Instance, stdout, stderr, func(ctx context.Context, log *telemetry.Logger) error {
		options := control.Options{Bootstrap: *bootstrap, Reload: watchSettings(ctx, flags.settings, settings.ParseControl, log)}
		if flags.platform {
			options.Catalogue = platform.ControlHandler
		}
		return control.Run(ctx, s, log, options)
	})
}

func runGateway(args []string, stdout, stderr io.Writer) int {
	set := flag.NewFlagSet("heatherwall gateway", flag.ContinueOnError)
	var flags daemonFlags
	flags.register(set)
	text, code, ok := flags.parse(set, args, stderr)
	if !ok {
		return code
	}
	s, err := settings.ParseGateway(flags.settings, text)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return runDaemon(flags, s.Instance, stdout, stderr, func(ctx context.Context, log *telemetry.Logger) error {
		options := gateway.Options{Reload: watchSettings(ctx, flags.settings, settings.ParseGateway, log)}
		if flags.platform {
			options.Dialect = platform.Dialect()
		}
		return gateway.Run(ctx, s, log, nil, options)
	})
}

// runDaemon runs a daemon until it returns or the process receives SIGTERM or SIGINT. A second signal terminates the
// process immediately.
func runDaemon(flags daemonFlags, instance settings.Instance, stdout, stderr io.Writer, daemon func(context.Context, *telemetry.Logger) error) int {
	if flags.checkOnly {
		fmt.Fprintf(stdout, "%s: settings are valid\n", flags.settings)
		return exitOK
	}
	level, err := telemetry.ParseLevel(instance.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	context.AfterFunc(ctx, cancel)
	logger := telemetry.NewAsyncLogger(stdout, level)
	defer logger.Close()
	log.SetFlags(0)
	log.SetOutput(newLibraryLog(logger))
	defer log.SetOutput(stderr)
	if err := daemon(ctx, logger); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
