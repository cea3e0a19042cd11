package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Reason identifies a kind of problem. The values are stable.
type Reason string

// Kinds of problems.
const (
	ReasonSyntax              Reason = "syntax"
	ReasonTooLarge            Reason = "too_large"
	ReasonUnknownField        Reason = "unknown_field"
	ReasonDuplicate           Reason = "duplicate"
	ReasonMissing             Reason = "missing"
	ReasonWrongType           Reason = "wrong_type"
	ReasonBadValue            Reason = "bad_value"
	ReasonUnknownName         Reason = "unknown_name"
	ReasonInconsistentRegions Reason = "inconsistent_regions"
	ReasonClaimRegion         Reason = "claim_region"
	ReasonAmbiguousRule       Reason = "ambiguous_rule"
)

// Problem is one mistake in a document.
type Problem struct {
	File string
	// Line and Column count from 1. In problems from Compile they refer to the text of the section.
	Line   int
	Column int
	// Path is the path of the field, for example services.labels.rules[0].deadline.
	Path string
	// Expected is the message; it says what the field must be.
	Expected string
	Reason   Reason
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Expected)
}

// Problems lists every mistake found, sorted by file, line and column.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path))
	})
}
