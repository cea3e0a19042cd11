// Package operator is the operators' client of heatherwall: it checks, compares, applies and approves changes to the
// document and shows the state of the setup. It speaks to control replicas over gRPC with mutual TLS.
package operator
