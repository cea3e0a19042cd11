package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Heatherwall string
	Standin     string
	// BenchGateway is a gateway with the baseline selection of backend servers.
	BenchGateway string
}

// BuildError reports a failed build.
type BuildError struct {
	Output string
	Cause  error
}

func (e *BuildError) Error() string { return fmt.Sprintf("build: %v\n%s", e.Cause, e.Output) }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// RunTests builds the programs from the workspace two folders above the package under test, stores their paths in
// binaries and runs the tests or benchmarks of the package. It returns the exit code.
func RunTests(m *testing.M, binaries *Binaries) int {
	folder, err := os.MkdirTemp("", "heatherwall-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	if *binaries, err = build("../..", folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds the programs from the workspace at root into folder.
func build(root, folder string) (Binaries, error) {
	c := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "./cmd/heatherwall", "./testbed/cmd/standin", "./testbed/cmd/benchgateway")
	c.Dir = root
	c.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := c.CombinedOutput(); err != nil {
		return Binaries{}, &BuildError{Output: string(output), Cause: err}
	}
	return Binaries{
		Heatherwall:  filepath.Join(folder, "heatherwall"),
		Standin:      filepath.Join(folder, "standin"),
		BenchGateway: filepath.Join(folder, "benchgateway"),
	}, nil
}
