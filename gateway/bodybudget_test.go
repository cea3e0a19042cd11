package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against bodies that together exceed the memory of a gateway, and against bytes that are never given back.
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
		t.Fatalf("%d bytes are held after all bodies were given back", used)
	}
	third := &budgetedBody{budget: b, body: strings.NewReader("12345678")}
	if _, err := io.ReadAll(third); err != nil {
		t.Errorf("third body: %v", err)
	}
}
