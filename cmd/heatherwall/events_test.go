package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"heatherwall.example/telemetry"
)

const eventsPage = "../../docs/events.md"

func eventRows() string {
	var b strings.Builder
	for _, e := range telemetry.Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}

// Guards against events that are missing from the catalogue page, or whose meaning there is out of date.
func TestEventsPageEqualsCode(t *testing.T) {
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	var rows strings.Builder
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && strings.Contains(line, "| `") {
			rows.WriteString(line)
		}
	}
	if rows.String() != eventRows() {
		t.Fatalf("the rows of %s differ from the code; expected:\n%s", eventsPage, eventRows())
	}
}
