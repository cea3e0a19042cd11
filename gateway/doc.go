// Package gateway is described in docs/design.md.
package gateway
