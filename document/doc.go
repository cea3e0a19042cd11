// Package document implements the YAML document that operators edit: parsing with positions, validation, sections,
// compilation into the form that gateways use, diffs and signatures. The package does no I/O: it uses no file, socket,
// clock or global random source.
package document
