// Package testbed is described in docs/design.md.
package testbed
