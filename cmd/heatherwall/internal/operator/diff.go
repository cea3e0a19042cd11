package operator

import (
	"fmt"

	"heatherwall.example/document"
)

// runDiff compares a file with the document in force. If the file names the revision that it was made from, the output
// distinguishes changes that others made since then.
func runDiff(c *invocation, args []string) error {
	c.addConnectionFlags()
	positional, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	mine, err := readDocument(positional[0])
	if err != nil {
		return err
	}
	r, err := c.newReplicaClient()
	if err != nil {
		return err
	}
	defer r.close()
	ctx, cancel := c.timeoutContext()
	defer cancel()
	newest, err := getDocument(ctx, r, 0)
	if err != nil {
		return err
	}
	base, err := c.fetchBase(ctx, r, mine, "")
	if err != nil {
		return err
	}
	differences := document.Diff(base.sections(), mine.Sections(), baseDocument{answer: newest}.sections())
	return c.writeDiff(newest.GetRevision(), differences)
}

// diffResult is the JSON output of the subcommand diff.
type diffResult struct {
	Revision uint64          `json:"revision"`
	Sections []sectionResult `json:"sections"`
}

type sectionResult struct {
	Name string            `json:"name"`
	Kind document.DiffKind `json:"kind"`
	Diff string            `json:"diff"`
}

func (c *invocation) writeDiff(revision uint64, differences []document.SectionDiff) error {
	if c.options.json {
		return c.writeJSON(diffResult{Revision: revision, Sections: sectionResults(differences)})
	}
	if len(differences) == 0 {
		fmt.Fprintf(c.stdout, "no difference from revision %d\n", revision)
		return nil
	}
	fmt.Fprint(c.stdout, document.RenderDiff(differences))
	return nil
}

func sectionResults(differences []document.SectionDiff) []sectionResult {
	list := []sectionResult{}
	for _, d := range differences {
		one := sectionResult{Name: d.Name, Kind: d.Kind, Diff: document.RenderDiff([]document.SectionDiff{d})}
		list = append(list, one)
	}
	return list
}
