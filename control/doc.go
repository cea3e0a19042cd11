// Package control implements the daemon of a control replica. It runs the raft groups of the replica, stores their logs
// in the data folder, confirms to gateways that their configuration is current, decides claims of idempotency keys and
// serves operators. One goroutine, the loop, owns all replicated state; gRPC handlers submit tasks to it and wait for
// the result. The package may import every library module of the workspace except gateway, balance and membership.
package control
