// Package model holds Promela models of the protocols and the test that verifies them with Spin. Each model has broken
// variants, selected by preprocessor macros, for which Spin must find a violated assertion. docs/models.md describes
// the models.
package model
