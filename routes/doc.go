// Package routes validates and compiles route tables, and validates the records of backend servers. A route table is the whole configuration of a cluster under one version;
// it admits requests of any caller by host and path prefix. The package does no I/O and imports only the messages of package
// api and the types of package document that the request path uses.
package routes
