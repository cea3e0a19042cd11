// Package model is described in docs/design.md.
package model
