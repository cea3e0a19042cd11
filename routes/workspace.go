package routes

import (
	"crypto/sha256"
	"fmt"
	"math"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// allWorkspaces stands for the organisation that all workspaces of a table belong to.
var allWorkspaces = &document.Member{}

// addWorkspace adds a workspace. Its callers are known by its keys only, so there is one for all of them.
func (c *Table) addWorkspace(w *controlpb.Workspace) {
	caller := &document.Caller{Tenant: &document.Tenant{
		Member: allWorkspaces, Name: w.GetName(), Home: compileRegions(w.GetRegions()), IsLimited: w.GetRate() > 0,
	}}
	c.workspaces[w.GetName()] = caller
	for _, digest := range w.GetKeyDigests() {
		c.callers[[sha256.Size]byte(digest)] = caller
	}
}

// CallerByKey returns the caller that the workspace with the key has.
func (c *Table) CallerByKey(key string) (*document.Caller, bool) { return c.callers.ByToken(key) }

// CallerOf returns the caller of the workspace with a name.
func (c *Table) CallerOf(workspace string) (*document.Caller, bool) {
	caller, ok := c.workspaces[workspace]
	return caller, ok
}

// validateWorkspaces checks the workspaces of a table. No error contains a key or its digest.
func validateWorkspaces(workspaces []*controlpb.Workspace) error {
	names := map[string]bool{}
	holder := map[string]string{}
	for _, w := range workspaces {
		invalid := func(field, expected string) error {
			return &InvalidError{Workspace: w.GetName(), Field: field, Expected: expected}
		}
		switch {
		case !isName(w.GetName()):
			return invalid("workspaces", "a name for each workspace: "+expectedName)
		case names[w.GetName()]:
			return invalid("name", "each workspace once")
		case !isFiniteCount(w.GetRate()):
			return invalid("rate", expectedCount)
		case !isFiniteCount(w.GetBurst()):
			return invalid("burst", expectedCount)
		}
		names[w.GetName()] = true
		for _, digest := range w.GetKeyDigests() {
			if len(digest) != sha256.Size {
				return invalid("keys", fmt.Sprintf("digests of %d bytes", sha256.Size))
			}
			if other, taken := holder[string(digest)]; taken && other != w.GetName() {
				return invalid("keys", fmt.Sprintf("no key that workspace %q has too", other))
			}
			holder[string(digest)] = w.GetName()
		}
	}
	return nil
}

const expectedCount = "a finite number, 0 or more"

func isFiniteCount(n float64) bool { return n >= 0 && n <= math.MaxFloat64 }
