package controlstate

import (
	"math"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

var oddNumbers = []uint64{0, 1, 2, math.MaxUint32, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64}

var oddTexts = []string{"", "a", "b", "10.0.0.1:1", "[fe80::1%eth0]:0", "é", "\x00", "line\r\nend", string(make([]byte, 5000))}

func oneOf[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

func oddServer(r *rand.Rand) *controlpb.BackendServer {
	return &controlpb.BackendServer{
		Id: oneOf(r, oddTexts), Service: oneOf(r, oddTexts), Address: oneOf(r, oddTexts), Version: oneOf(r, oddTexts), FailureDomain: oneOf(r, oddTexts),
		Incarnation: oneOf(r, oddNumbers), Sequence: oneOf(r, oddNumbers), Slots: uint32(oneOf(r, oddNumbers)), ColdMs: uint32(oneOf(r, oddNumbers)),
		State: controlpb.BackendState(oneOf(r, oddNumbers)), Holder: oneOf(r, oddNumbers), Changed: oneOf(r, oddNumbers),
	}
}

func oddEntry(r *rand.Rand) []byte {
	switch r.IntN(6) {
	case 0, 1:
		return EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(oddServer(r)), {}, presentReport(oddServer(r))})
	case 2:
		return EncodeServerReportsEntry([]*statepb.ServerReport{endedReport(&statepb.ServerEnd{Id: oneOf(r, oddTexts), Incarnation: oneOf(r, oddNumbers), Lost: r.IntN(2) == 0, Changed: oneOf(r, oddNumbers)})})
	case 3:
		weight := oneOf(r, []float64{math.NaN(), math.Inf(1), -1, math.MaxFloat64})
		return EncodePutRoutesEntry(&controlpb.RouteTable{Version: oneOf(r, oddNumbers), Routes: []*controlpb.Route{{Name: oneOf(r, oddTexts), Shares: []*controlpb.RouteShare{{Weight: weight}}}}})
	case 4:
		return EncodePoisonReportsEntry([]*controlpb.PoisonReport{{Crashes: uint32(oneOf(r, oddNumbers))}, {Fingerprint: []byte(oneOf(r, oddTexts))}})
	}
	return EncodeSetDomainOutEntry(oneOf(r, oddTexts), r.IntN(2) == 0, 0)
}

// damage changes a few bytes of an entry, which may then hold invalid UTF-8, a truncated message or no command.
func damage(r *rand.Rand, entry []byte) []byte {
	entry = append([]byte(nil), entry...)
	for range r.IntN(4) {
		if len(entry) > 0 {
			entry[r.IntN(len(entry))] = byte(r.Uint32())
		}
	}
	return entry[:len(entry)-r.IntN(len(entry)/4+1)]
}

// Guards against an entry of the log that makes a replica panic, or leaves a state that cannot be sent to gateways, saved
// or restored.
func TestOddEntriesLeaveAUsableState(t *testing.T) {
	r := rand.New(rand.NewPCG(20261205, 2))
	c := NewConfiguration()
	refused := 0
	for i := range 20_000 {
		if result := c.Apply(uint64(i+1), damage(r, oddEntry(r))); result.Err != nil {
			refused++
		}
		if i%50 != 0 {
			continue
		}
		if _, err := proto.Marshal(c.CatalogueDeltaSince(0, true)); err != nil {
			t.Fatalf("entry %d: the state cannot be sent: %v", i, err)
		}
		if _, err := RestoreConfiguration(c.Snapshot()); err != nil {
			t.Fatalf("entry %d: the state cannot be restored: %v", i, err)
		}
	}
	if refused == 0 || refused == 20_000 {
		t.Errorf("%d of 20000 entries were refused", refused)
	}
}

// Guards against a server with the highest start, which no other can supersede at its address, that bars the address or
// its identifier after it has stopped reporting.
func TestHighestStartEndsWithItsReports(t *testing.T) {
	c := NewConfiguration()
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("odd", "1", math.MaxUint64, math.MaxUint64))}))
	lost := &statepb.ServerEnd{Id: "odd", Incarnation: math.MaxUint64, Lost: true, Changed: c.BackendServer("odd").GetChanged()}
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{endedReport(lost)}))
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("good", "1", 10, 1)), presentReport(server("odd", "2", 10, 1))}))
	if c.BackendServer("good") == nil || c.BackendServer("odd") == nil {
		t.Errorf("servers %v; want both", c.BackendServers())
	}
}
