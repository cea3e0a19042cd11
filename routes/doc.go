// Package routes checks and compiles route tables: the whole configuration of a setup under one version, which admits
// requests of any caller by host and path prefix. It is pure and imports the messages of package api and the types of
// package document that the request path works with.
package routes
