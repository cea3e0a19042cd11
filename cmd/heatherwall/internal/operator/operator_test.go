package operator

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"heatherwall.example/api/controlpb"
)

type groupKey struct{}

// Runs the scripts in testdata, which compare exit codes and output. Each script has its own control replicas and can
// read the example documents.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: func(e *testscript.Env) error { return setUpSession(t, e) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"heatherwall": runCommand,
			"race":        raceApply,
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				groupOf(ts).answersToLose.Store(parseNumber(ts, args))
			},
			"delay": func(ts *testscript.TestScript, _ bool, args []string) {
				groupOf(ts).notInForceAnswers.Store(parseNumber(ts, args))
			},
			"load":    setLoadReports,
			"edit":    replaceOnce,
			"cut":     truncateAt,
			"capture": captureOutput,
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

func setUpSession(t *testing.T, e *testscript.Env) error {
	folder := filepath.Join(e.WorkDir, "certificates")
	g := startControlGroup(t, folder)
	e.Values[groupKey{}] = g
	examples, err := filepath.Abs(filepath.Join("..", "..", "..", "..", "examples"))
	if err != nil {
		return err
	}
	e.Setenv("EXAMPLES", examples)
	text, err := yaml.Marshal(g.clientFile(folder))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(e.WorkDir, "client.yaml"), text, 0o644)
}

func groupOf(ts *testscript.TestScript) *controlGroup { return ts.Value(groupKey{}).(*controlGroup) }

func parseNumber(ts *testscript.TestScript, args []string) int32 {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	return int32(n)
}

// runCommand implements "heatherwall EXIT ARGS...": it runs a subcommand and compares its exit code. Names of YAML
// files are made absolute, because the script's working folder is not that of the process.
func runCommand(ts *testscript.TestScript, _ bool, args []string) {
	exit, known := Run(absoluteYAMLPaths(ts, args[1:]), ts.Stdout(), ts.Stderr())
	if !known || strconv.Itoa(exit) != args[0] {
		ts.Fatalf("exit code %d (known %v), want %s", exit, known, args[0])
	}
}

func absoluteYAMLPaths(ts *testscript.TestScript, args []string) []string {
	args = slices.Clone(args)
	for i, a := range args {
		if strings.HasSuffix(a, ".yaml") {
			args[i] = ts.MkAbs(a)
		}
	}
	return args
}

// raceApply implements "race FILE...": for each file, one operator applies it concurrently with the others, after all
// have read the same revision. It writes the sorted exit codes and the outputs.
func raceApply(ts *testscript.TestScript, _ bool, files []string) {
	g := groupOf(ts)
	var getBarrier, all sync.WaitGroup
	getBarrier.Add(len(files))
	g.getBarrier.Store(&getBarrier)
	defer g.getBarrier.Store(nil)
	exits := make([]int, len(files))
	outputs := make([]bytes.Buffer, len(files))
	for i, file := range files {
		all.Go(func() {
			args := []string{"apply", "-client", ts.MkAbs("client.yaml"), "-key", ts.MkAbs("wendover.yaml"), ts.MkAbs(file)}
			exits[i], _ = Run(args, &outputs[i], &outputs[i])
		})
	}
	all.Wait()
	slices.Sort(exits)
	fmt.Fprintln(ts.Stdout(), "exit codes", exits)
	for i := range outputs {
		outputs[i].WriteTo(ts.Stdout())
	}
}

// setLoadReports implements "load FILE": from then on, the replicas answer Load with the reports in a JSON file.
func setLoadReports(ts *testscript.TestScript, _ bool, args []string) {
	answer := &controlpb.LoadAnswer{}
	ts.Check(protojson.Unmarshal([]byte(ts.ReadFile(args[0])), answer))
	groupOf(ts).load.Store(answer)
}

// replaceOnce implements "edit FROM TO OLD NEW": it replaces the only occurrence of OLD. \n stands for a line feed.
func replaceOnce(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	from, to := strings.ReplaceAll(args[2], `\n`, "\n"), strings.ReplaceAll(args[3], `\n`, "\n")
	if strings.Count(text, from) != 1 {
		ts.Fatalf("%q occurs %d times in %s", from, strings.Count(text, from), args[0])
	}
	text = strings.Replace(text, from, to, 1)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o644))
}

// truncateAt implements "cut FROM TO MARK": it drops everything from MARK on.
func truncateAt(ts *testscript.TestScript, _ bool, args []string) {
	text, _, found := strings.Cut(ts.ReadFile(args[0]), args[2])
	if !found {
		ts.Fatalf("no %q in %s", args[2], args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o644))
}

// captureOutput implements "capture NAME BEFORE AFTER": it sets a variable to the text between BEFORE and AFTER in the
// last output.
func captureOutput(ts *testscript.TestScript, _ bool, args []string) {
	_, rest, before := strings.Cut(ts.ReadFile("stdout"), args[1])
	value, _, after := strings.Cut(rest, args[2])
	if !before || !after {
		ts.Fatalf("output has nothing between %q and %q", args[1], args[2])
	}
	ts.Setenv(args[0], value)
}

// Guards against handling a name that is not a subcommand, which is the caller's task.
func TestRunUnknown(t *testing.T) {
	for _, args := range [][]string{nil, {"gateway"}, {"-h"}} {
		if _, known := Run(args, &bytes.Buffer{}, &bytes.Buffer{}); known {
			t.Errorf("%v is known", args)
		}
	}
}

// Guards against accepting answers from a server of the cluster that is not a control replica, such as a gateway.
func TestReplicaNames(t *testing.T) {
	folder := t.TempDir()
	g := startControlGroup(t, folder)
	for _, c := range []struct {
		names []string
		exit  int
	}{{g.names, exitOK}, {[]string{"other-1", "other-2", "other-3"}, exitFailed}} {
		f := g.clientFile(folder)
		for i := range f.Control {
			f.Control[i].Name = c.names[i]
		}
		if exit, output := runStatusCommand(t, folder, f, "2s"); exit != c.exit {
			t.Errorf("names %v: exit code %d, want %d\n%s", c.names, exit, c.exit, output)
		}
	}
}

// Guards against waiting for a replica whose process is suspended. The kernel still accepts connections for it, and the
// client must fail over to the next replica.
func TestSuspendedReplica(t *testing.T) {
	suspended, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer suspended.Close()
	folder := t.TempDir()
	f := startControlGroup(t, folder).clientFile(folder)
	f.Control[0].Address = suspended.Addr().String()
	if exit, output := runStatusCommand(t, folder, f, "30s"); exit != exitOK {
		t.Errorf("exit code %d\n%s", exit, output)
	}
}

// runStatusCommand runs the subcommand status with a client file.
func runStatusCommand(t *testing.T, folder string, f clientFile, timeout string) (exit int, output string) {
	t.Helper()
	text, err := yaml.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "client.yaml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	exit, _ = Run([]string{"status", "-client", file, "-timeout", timeout}, &b, &b)
	return exit, b.String()
}
