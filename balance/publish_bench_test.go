package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChangeOfOneServer measures one change while a gateway knows 600 servers of four services in nine failure domains.
func BenchmarkChangeOfOneServer(b *testing.B) {
	e := New(Config{Name: "gw-1", Region: "r0", FailureDomain: "d0", EvidenceLifetime: time.Hour})
	var events []Event
	for i := range 600 {
		address := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		events = append(events, ServerChanged{Server: Server{
			Address: address, ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%4), Region: fmt.Sprint("r", i%3), FailureDomain: fmt.Sprint("d", i%9), Slots: 6,
		}})
	}
	e.ApplyAll(events)
	b.ReportAllocs()
	for i := range b.N {
		e.ApplyAll(events[i%600 : i%600+1])
	}
}
