package controlstate

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// signingKey returns the key of a signer, which is derived from its name and the same in every run.
func signingKey(signer string) *document.PrivateKey {
	seed := sha256.Sum256([]byte(signer))
	k, err := document.GenerateKey(signer, "k1", bytes.NewReader(seed[:]))
	if err != nil {
		panic(err)
	}
	return k
}

func memberText(name string, limit int) string {
	text := fmt.Sprintf("keys:\n  - {id: k1, public_key: %s}\nlimit: %d\n", signingKey(name).PublicKeyBase64(), limit)
	return text + fmt.Sprintf("teams:\n  ops:\n    - {id: k1, public_key: %s}\n", signingKey(name+"/ops").PublicKeyBase64())
}

func serviceText(owner, region string, workers int) string {
	return fmt.Sprintf(`owner: %s
credential_sha256: %s
claim_region: %s
workers: %d
slots: 6
connections: 220
rules:
  - {name: issue, methods: [POST], path: /labels, callers: ["alpha/*"], idempotent: false, deadline: 2s}
`, owner, strings.Repeat("0", 64), region, workers)
}

const (
	topologyText  = "owner: alpha/ops\nregions:\n  r1: [d1, d2]\n  r2: [d3]\n"
	measuringText = "owner: alpha\nwithin_region: 10KiB\nacross_regions: 2KiB\n"
)

// configurationDriver applies changes to a Configuration at increasing indexes and with increasing change IDs.
type configurationDriver struct {
	*Configuration
	ids int
}

func setSection(name string, base uint64, text string) *controlpb.SectionChange {
	return &controlpb.SectionChange{Name: name, BaseRevision: base, Text: text}
}

func removeSection(name string, base uint64) *controlpb.SectionChange {
	return &controlpb.SectionChange{Name: name, BaseRevision: base, Remove: true}
}

func sectionsChange(list ...*controlpb.SectionChange) *controlpb.Change {
	return &controlpb.Change{Sections: list}
}

// sign gives a change a new ID and signs it.
func (m *configurationDriver) sign(change *controlpb.Change, signers ...string) *controlpb.SignedChange {
	m.ids++
	change.Id = fmt.Sprintf("00000000-0000-7000-8000-%012d", m.ids)
	var keys []*document.PrivateKey
	for _, s := range signers {
		keys = append(keys, signingKey(s))
	}
	signed, err := document.Sign(change, keys...)
	if err != nil {
		panic(err)
	}
	return signed
}

func (m *configurationDriver) apply(signed *controlpb.SignedChange) *controlpb.ChangeOutcome {
	return m.Apply(m.AppliedIndex()+1, EncodeChangeEntry(signed)).Outcome
}

func (m *configurationDriver) change(change *controlpb.Change, signers ...string) *controlpb.ChangeOutcome {
	return m.apply(m.sign(change, signers...))
}

func (m *configurationDriver) approveText(member, candidate, text string) *controlpb.ChangeOutcome {
	sum := sha256.Sum256([]byte(text))
	a := &controlpb.Approval{Member: member, Candidate: candidate, TextSha256: sum[:]}
	return m.change(&controlpb.Change{Approval: a}, member)
}

func firstDocument() *controlpb.Change {
	return sectionsChange(setSection("members/alpha", 0, memberText("alpha", 1)), setSection("members/beta", 0, memberText("beta", 1)),
		setSection("topology", 0, topologyText), setSection("measuring", 0, measuringText),
		setSection("services/labels", 0, serviceText("alpha/ops", "r1", 12)))
}

// newDriverWithDocument returns a driver whose Configuration is at revision 1 and has the members alpha and beta.
func newDriverWithDocument(t testing.TB) *configurationDriver {
	m := &configurationDriver{Configuration: NewConfiguration()}
	if o := m.change(firstDocument(), "alpha", "beta"); o.GetResult() != controlpb.ChangeResult_CHANGE_ACCEPTED {
		t.Fatal(o)
	}
	return m
}

// restart replaces the state by one that is restored from its snapshot, and fails if the snapshot of the restored state
// differs.
func (m *configurationDriver) restart(t interface{ Fatalf(string, ...any) }) {
	snapshot := m.Snapshot()
	restored, err := RestoreConfiguration(snapshot)
	if err != nil {
		t.Fatalf("restore: %v", err)
	}
	if !bytes.Equal(snapshot, restored.Snapshot()) {
		t.Fatalf("snapshot of the restored state differs")
	}
	m.Configuration = restored
}

func textHash(text string) []byte {
	sum := sha256.Sum256([]byte(text))
	return sum[:]
}
