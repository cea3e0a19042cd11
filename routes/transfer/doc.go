// Package transfer divides a route table into parts, so that a gateway on a slow link receives it step by step, keeps what
// has arrived when its session ends, and gets only what differs from the table that it holds. It is pure: it uses no
// socket, file or clock.
package transfer
