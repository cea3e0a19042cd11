// Package controlstate is described in docs/design.md.
package controlstate
