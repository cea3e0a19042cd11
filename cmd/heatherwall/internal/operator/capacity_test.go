package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// exampleGetAnswer returns an answer to Get with the Wendover example document.
func exampleGetAnswer(t *testing.T) *controlpb.GetAnswer {
	t.Helper()
	file := filepath.Join("..", "..", "..", "..", "examples", "wendover", "document.yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, problems := document.Parse(file, text)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	answer := &controlpb.GetAnswer{}
	for _, s := range d.Sections() {
		answer.Sections = append(answer.Sections, &controlpb.Section{Name: s.Name, Text: s.Text})
	}
	return answer
}

func catalogueSlots(domain, region string, slots uint32) *controlpb.ReadySlots {
	return &controlpb.ReadySlots{Service: "catalogue", Region: region, FailureDomain: domain, Slots: slots}
}

// gatewayReport returns a complete report of one gateway. It contains a load of the service catalogue whose requests
// may run only in the given regions.
func gatewayReport(name, region string, slots []*controlpb.ReadySlots, milli []uint32, regions ...string) *controlpb.GatewayLoad {
	load := &controlpb.ServiceLoad{Service: "catalogue", Regions: regions, MilliInFlight: milli}
	return &controlpb.GatewayLoad{Name: name, Region: region, Seconds: loadWindowSeconds, Services: []*controlpb.ServiceLoad{load}, ReadySlots: slots}
}

// Guards against a comparison that adds peaks of different seconds, counts slots in regions where requests may not run
// or in domains that are out, prefers the report of a gateway in another region or of a recently started one, or
// reports a shortage for a domain without servers.
func TestEvaluateCapacity(t *testing.T) {
	full := []*controlpb.ReadySlots{catalogueSlots("erie-a", "erie", 10), catalogueSlots("erie-b", "erie", 10), catalogueSlots("ontario-a", "ontario", 10)}
	partial := []*controlpb.ReadySlots{catalogueSlots("erie-a", "erie", 10), catalogueSlots("ontario-a", "ontario", 10)}
	recent := gatewayReport("g0", "erie", partial, []uint32{0})
	recent.Seconds = 2
	lacking := func(need float64, left int, regions ...string) []shortage {
		return []shortage{{Service: "catalogue", Regions: regions, Need: need, SlotsLeft: left}}
	}
	all := []string{"erie", "ontario", "superior"}
	tests := []struct {
		name  string
		out   []string
		loads []*controlpb.GatewayLoad
		want  capacityResult
	}{
		{"enough", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full, []uint32{8000}, "erie")}, capacityResult{Known: true}},
		{"restricted to a region", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full, []uint32{8001}, "erie")}, capacityResult{Known: true, Lacking: lacking(8.001, 10, "erie")}},
		{"restricted load counts towards all regions", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full, []uint32{7000}, "erie"), gatewayReport("g2", "ontario", nil, []uint32{9500})},
			capacityResult{Known: true, Lacking: lacking(16.5, 20, all...)}},
		{"peaks in different seconds", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full, []uint32{0, 15000}), gatewayReport("g2", "erie", nil, []uint32{15000, 0})}, capacityResult{Known: true}},
		{"another domain is out", []string{"erie-b"}, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full, []uint32{9000})},
			capacityResult{Known: true, Lacking: []shortage{{Service: "catalogue", Regions: []string{"erie"}, SlotsLeft: 0}}}},
		{"report of the own region is preferred", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "ontario", partial, nil), gatewayReport("g2", "erie", full, nil)}, capacityResult{Known: true}},
		{"report of a recently started gateway", nil, []*controlpb.GatewayLoad{recent, gatewayReport("g1", "erie", full, nil)}, capacityResult{Missing: []string{"g0 has observed its load for 2 s only"}}},
		{"no servers in the domain", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", full[1:], []uint32{90000})}, capacityResult{Known: true}},
		{"no slots at all", nil, []*controlpb.GatewayLoad{gatewayReport("g1", "erie", nil, nil)}, capacityResult{Missing: []string{"no gateway reported backend servers"}}},
		{"no gateways", nil, nil, capacityResult{Missing: []string{"no gateway is known to serve", "no gateway reported backend servers"}}},
	}
	for _, tt := range tests {
		answer := exampleGetAnswer(t)
		answer.DomainsOut = tt.out
		if got := evaluateCapacity("erie-a", answer, &controlpb.LoadAnswer{Gateways: tt.loads}); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
