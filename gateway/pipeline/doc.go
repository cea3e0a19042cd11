// Package pipeline lets an HTTP/1.1 server work on requests side by side that a client sends on one connection before the
// first of them is answered. net/http serves the requests of a connection one after the other.
//
// A Listener wraps the connections of an http.Server. While net/http handles a request, the connection reads on. Each
// further request without a body becomes an exchange: a connection of its own to the same http.Server, which reads that
// request and nothing else. The responses are written to the client in the order of the requests. The package finds where
// a request ends and decides nothing else about it; whatever is unusual is left to net/http, which then serves the
// connection as it would without this package. It imports the standard library only.
package pipeline
