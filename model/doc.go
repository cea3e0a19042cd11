// Package model holds Promela models of the protocols and the test that checks them with Spin. Each model has broken
// variants, selected by a preprocessor macro, which the checker must reject. docs/models.md describes them.
package model
