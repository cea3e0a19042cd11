// Package control is the daemon of a control replica. It drives the raft groups of the replica, keeps their logs in the
// data folder, confirms configurations to gateways, takes claims and serves operators. One goroutine, the loop, owns
// all replicated state; gRPC handlers hand it tasks and wait for the result. The package may import every library
// module of the workspace except gateway, balance and membership.
package control
