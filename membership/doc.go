// Package membership is described in docs/design.md.
package membership
