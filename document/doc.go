// Package document defines the document that operators edit: parsing with positions, checks, sections, compilation for
// gateways, differences and signatures. The package is pure: it uses no file, socket, clock or global random source.
package document
