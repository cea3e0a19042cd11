package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the programs under test.
type Binaries struct {
	Heatherwall string
	Standin     string
	// BenchGateway is a gateway with the baseline selection.
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

// Build builds the programs from the workspace at root into folder.
func Build(root, folder string) (Binaries, error) {
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
