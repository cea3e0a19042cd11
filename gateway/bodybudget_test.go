package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against buffered bodies that exceed the memory budget, and against memory that is never returned to it.
func TestBodyBudget(t *testing.T) {
	b := &bodyBudget{limit: 10}
	first := &budgetedBody{budget: b, body: strings.NewReader("12345678")}
	if _, err := io.ReadAll(first); err != nil {
		t.Fatal(err)
	}
	second := &budgetedBody{budget: b, body: strings.NewReader("12345678")}
	var full *BodyBudgetError
	if _, err := io.ReadAll(second); !errors.As(err, &full) {
		t.Fatalf("second body: %v; want *BodyBudgetError", err)
	}
	second.release()
	first.release()
	if used := b.used.Load(); used != 0 {
		t.Fatalf("%d bytes are reserved after all bodies were released", used)
	}
	third := &budgetedBody{budget: b, body: strings.NewReader("12345678")}
	if _, err := io.ReadAll(third); err != nil {
		t.Errorf("third body: %v", err)
	}
}
