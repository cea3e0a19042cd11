package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
)

// largeDocument returns a document with this number of services, four rules per service, and one tenant with one caller
// per service.
func largeDocument(services int) string {
	var b strings.Builder
	b.WriteString("format: 1\nmembers:\n  acme:\n    keys:\n      - {id: k, public_key: " + strings.Repeat("A", 43) + "=}\n    tenants:\n")
	for i := range services {
		sum := sha256.Sum256(fmt.Appendf(nil, "token %d", i))
		fmt.Fprintf(&b, "      t%d:\n        callers:\n          - {name: c, token_sha256: %s}\n", i, hex.EncodeToString(sum[:]))
	}
	b.WriteString("topology:\n  owner: acme\n  regions:\n    a: [a-1, a-2, a-3]\n    b: [b-1, b-2]\n")
	b.WriteString("measuring:\n  owner: acme\n  within_region: 10KiB\n  across_regions: 2KiB\nservices:\n")
	for i := range services {
		sum := sha256.Sum256(fmt.Appendf(nil, "credential %d", i))
		fmt.Fprintf(&b, "  s%d:\n    owner: acme\n    credential_sha256: %s\n    claim_region: a\n    workers: 25\n    slots: 6\n    connections: 220\n    rules:\n", i, hex.EncodeToString(sum[:]))
		for r := range 4 {
			fmt.Fprintf(&b, "      - {name: r%d, methods: [GET], path: /s%d/r%d, callers: [acme/*], idempotent: true, deadline: 2s}\n", r, i, r)
		}
	}
	return b.String()
}

// BenchmarkCompile measures what a gateway and a replica do for each accepted change, by number of services.
func BenchmarkCompile(b *testing.B) {
	for _, services := range []int{1, 10, 35} {
		d, problems := Parse("document.yaml", []byte(largeDocument(services)))
		if len(problems) > 0 {
			b.Fatal(problems)
		}
		bytes := 0
		for _, s := range d.Sections() {
			bytes += len(s.Text)
		}
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				if _, problems := Compile(d.Sections()); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
			b.ReportMetric(float64(bytes), "document-B")
		})
	}
}
