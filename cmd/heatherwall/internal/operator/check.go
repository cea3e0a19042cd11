package operator

import (
	"errors"
	"fmt"

	"heatherwall.example/document"
)

// runCheck reports all problems of a document, without connecting to a replica.
func runCheck(c *invocation, args []string) error {
	c.addJSONFlag()
	positional, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	d, err := readDocument(positional[0])
	var problems document.Problems
	if errors.As(err, &problems) {
		return c.writeProblems(problems)
	}
	if err != nil {
		return err
	}
	if c.options.json {
		return c.writeJSON(checkResult{Sections: len(d.Sections())})
	}
	fmt.Fprintf(c.stdout, "%s: no mistakes in %d sections\n", positional[0], len(d.Sections()))
	return nil
}

// checkResult is the JSON output of the subcommand check.
type checkResult struct {
	Sections int             `json:"sections"`
	Problems []problemResult `json:"problems,omitempty"`
}

// problemResult is the JSON form of a document problem.
type problemResult struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Path     string `json:"path"`
	Expected string `json:"expected"`
	Reason   string `json:"reason"`
}

// writeProblems writes the problems to stdout, because they are the requested output of check. It returns a
// *RefusedError.
func (c *invocation) writeProblems(problems document.Problems) error {
	refusal := &RefusedError{Reason: fmt.Sprintf("%d mistakes", len(problems))}
	if !c.options.json {
		fmt.Fprintln(c.stdout, problems.Error())
		return refusal
	}
	var result checkResult
	for _, p := range problems {
		result.Problems = append(result.Problems, problemResult{
			File: p.File, Line: p.Line, Column: p.Column, Path: p.Path, Expected: p.Expected, Reason: string(p.Reason),
		})
	}
	if err := c.writeJSON(result); err != nil {
		return err
	}
	return refusal
}
