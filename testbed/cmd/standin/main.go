// Command standin is described in docs/design.md.
package main

func main() {}
