// Package control is described in docs/design.md.
package control
