// Package quota decides how many requests of a workspace all gateways together may send. For each workspace one control
// replica, the owner, has a token bucket (Ledger); gateways take tokens from it and spend them (Wallet). Owners are assigned
// by slots, and a slot changes its owner only when the grants of the old one have ended (Owners, Tenure).
//
// The package is pure: it uses no socket, file or clock. It may import nothing of the project.
package quota
