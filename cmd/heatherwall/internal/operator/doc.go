// Package operator implements the operators' command-line client. It checks, compares, applies and approves changes to
// the configuration document and shows the state of the cluster. It calls control replicas over gRPC with mutual
// TLS.
package operator
