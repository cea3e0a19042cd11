// Package document is described in docs/design.md.
package document
