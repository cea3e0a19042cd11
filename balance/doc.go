// Package balance is described in docs/design.md.
package balance
