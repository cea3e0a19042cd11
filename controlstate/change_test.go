package controlstate

import (
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
)

const (
	accepted     = controlpb.ChangeResult_CHANGE_ACCEPTED
	pending      = controlpb.ChangeResult_CHANGE_PENDING
	conflict     = controlpb.ChangeResult_CHANGE_CONFLICT
	invalid      = controlpb.ChangeResult_CHANGE_INVALID
	unauthorized = controlpb.ChangeResult_CHANGE_UNAUTHORIZED
	nothing      = controlpb.ChangeResult_CHANGE_NOTHING
)

// Checks the outcome of each kind of change to the document of newDriverWithDocument, and that refused changes do not
// change the state.
func TestChangeOutcomes(t *testing.T) {
	labels := func(owner, region string, workers int) *controlpb.SectionChange {
		return setSection("services/labels", 1, serviceText(owner, region, workers))
	}
	domainOut := func(name string) *controlpb.Change {
		return &controlpb.Change{Domain: &controlpb.DomainChange{FailureDomain: name, Out: true}}
	}
	cases := []struct {
		name    string
		change  *controlpb.Change
		signers []string
		want    controlpb.ChangeResult
		reason  string
	}{
		{"owner team", sectionsChange(labels("alpha/ops", "r1", 13)), []string{"alpha/ops"}, accepted, ""},
		{"owner member", sectionsChange(labels("alpha/ops", "r1", 13)), []string{"alpha"}, accepted, ""},
		{"other member", sectionsChange(labels("alpha/ops", "r1", 13)), []string{"beta"}, unauthorized, ReasonOwnerSignature},
		{"team signs for member", sectionsChange(setSection("measuring", 1, measuringText+"#\n")), []string{"alpha/ops"}, unauthorized, ReasonOwnerSignature},
		{"transfer by old owner only", sectionsChange(labels("beta", "r1", 12)), []string{"alpha"}, unauthorized, ReasonOwnerSignature},
		{"transfer", sectionsChange(labels("beta", "r1", 12)), []string{"alpha", "beta"}, accepted, ""},
		{"no signature", sectionsChange(labels("alpha", "r1", 13)), nil, unauthorized, ReasonInvalidSignature},
		{"unknown signer", sectionsChange(labels("alpha", "r1", 13)), []string{"gamma"}, unauthorized, ReasonInvalidSignature},
		{"unchanged text", sectionsChange(labels("alpha/ops", "r1", 12)), []string{"beta"}, nothing, ""},
		{"outdated base revision", sectionsChange(setSection("measuring", 0, measuringText+"#\n")), []string{"alpha"}, conflict, ""},
		{"claim region", sectionsChange(labels("alpha", "r2", 12)), []string{"alpha"}, invalid, ReasonClaimRegion},
		{"invalid text", sectionsChange(setSection("measuring", 1, "owner: alpha\n")), []string{"alpha"}, invalid, "missing"},
		{"unknown owner", sectionsChange(setSection("measuring", 1, "{owner: alpha/x, within_region: 1KiB, across_regions: 1B}\n")), []string{"alpha"}, invalid, "unknown_name"},
		{"section twice", sectionsChange(labels("alpha", "r1", 2), labels("alpha", "r1", 3)), []string{"alpha"}, invalid, ReasonSectionName},
		{"join with others", sectionsChange(setSection("members/gamma", 0, memberText("gamma", 1)), labels("alpha", "r1", 2)), []string{"gamma", "alpha"}, invalid, ReasonJoinAlone},
		{"join by another member", sectionsChange(setSection("members/gamma", 0, memberText("gamma", 1))), []string{"beta"}, unauthorized, ReasonOwnerSignature},
		{"domain out", domainOut("d3"), []string{"alpha/ops"}, accepted, ""},
		{"domain by another member", domainOut("d3"), []string{"beta"}, unauthorized, ReasonOwnerSignature},
		{"unknown domain", domainOut("d9"), []string{"alpha"}, invalid, ReasonFailureDomain},
		{"two kinds of change", &controlpb.Change{Domain: &controlpb.DomainChange{}, Approval: &controlpb.Approval{}}, []string{"alpha"}, invalid, ReasonChangeKind},
		{"first document again", firstDocument(), []string{"alpha", "beta"}, nothing, ""},
		{"member leaves", sectionsChange(removeSection("members/beta", 1)), []string{"beta"}, accepted, ""},
		{"leaving member is an owner", sectionsChange(removeSection("members/alpha", 1)), []string{"alpha"}, invalid, "unknown_name"},
		{"removal by another member", sectionsChange(removeSection("members/beta", 1)), []string{"alpha"}, unauthorized, ReasonOwnerSignature},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newDriverWithDocument(t)
			before := m.Sections()
			o := m.change(c.change, c.signers...)
			if o.GetResult() != c.want {
				t.Fatalf("got %v", o)
			}
			if c.reason != "" && (len(o.GetProblems()) == 0 || o.GetProblems()[0].GetReason() != c.reason) {
				t.Errorf("want reason %s, got %v", c.reason, o)
			}
			if changed := m.Revision() != 1; changed != (c.want == accepted) {
				t.Errorf("revision %d after %v", m.Revision(), o.GetResult())
			}
			if c.want != accepted && !slices.Equal(before, m.Sections()) {
				t.Error("a refused change changed sections")
			}
		})
	}
}

// Guards against accepting a first document that is incomplete or that one of its members has not signed.
func TestFirstDocument(t *testing.T) {
	m := &configurationDriver{Configuration: NewConfiguration()}
	if o := m.change(firstDocument(), "alpha"); o.GetResult() != unauthorized || m.Revision() != 0 {
		t.Fatalf("without beta: %v", o)
	}
	if o := m.change(sectionsChange(setSection("topology", 0, topologyText)), "alpha"); o.GetResult() == accepted {
		t.Fatalf("part of a document: %v", o)
	}
	if o := m.change(firstDocument(), "alpha", "beta"); o.GetResult() != accepted || o.GetRevision() != 1 {
		t.Fatalf("first document: %v", o)
	}
}

// Guards against a removed service that returns with another claim region, also after a restart.
func TestClaimRegionOutlivesService(t *testing.T) {
	m := newDriverWithDocument(t)
	if o := m.change(sectionsChange(removeSection("services/labels", 1)), "alpha"); o.GetResult() != accepted {
		t.Fatal(o)
	}
	m.restart(t)
	if o := m.change(sectionsChange(setSection("services/labels", 0, serviceText("alpha", "r2", 12))), "alpha"); o.GetResult() != invalid {
		t.Fatalf("other region: %v", o)
	}
	if o := m.change(sectionsChange(setSection("services/labels", 0, serviceText("alpha", "r1", 12))), "alpha"); o.GetResult() != accepted {
		t.Fatalf("same region: %v", o)
	}
}

// A repeated change ID must get the first outcome, also after a restart, after later changes and for refused changes.
// The same ID with different content must be refused.
func TestChangeIDs(t *testing.T) {
	m := newDriverWithDocument(t)
	valid := m.sign(sectionsChange(setSection("measuring", 1, measuringText+"#1\n")), "alpha")
	refused := m.sign(sectionsChange(setSection("measuring", 1, measuringText+"#2\n")), "beta")
	forged := m.sign(sectionsChange(setSection("measuring", 1, measuringText+"#5\n")), "gamma")
	firstValid, firstRefused, firstForged := m.apply(valid), m.apply(refused), m.apply(forged)
	m.change(sectionsChange(setSection("measuring", 2, measuringText+"#3\n")), "alpha")
	conflicting := m.sign(sectionsChange(setSection("measuring", 2, measuringText+"#4\n")), "alpha")
	firstConflicting := m.apply(conflicting)
	m.restart(t)
	revision := m.Revision()
	for _, c := range []struct {
		signed *controlpb.SignedChange
		want   *controlpb.ChangeOutcome
	}{{valid, firstValid}, {refused, firstRefused}, {forged, firstForged}, {conflicting, firstConflicting}} {
		r := m.Apply(m.AppliedIndex()+1, EncodeChangeEntry(c.signed))
		if !r.Repeated || !proto.Equal(r.Outcome, c.want) {
			t.Errorf("repeat gives %v, first was %v", r.Outcome, c.want)
		}
	}
	m.ids = 1
	if o := m.change(sectionsChange(setSection("measuring", 3, measuringText)), "alpha"); o.GetResult() != invalid || o.GetProblems()[0].GetReason() != ReasonChangeIDUsed {
		t.Errorf("used ID with other content: %v", o)
	}
	if m.Revision() != revision {
		t.Errorf("revision changed from %d to %d", revision, m.Revision())
	}
}

// The outcomes of the newest 10,000 change IDs must be kept, and no more.
func TestChangeIDLimit(t *testing.T) {
	log := newOutcomeLog()
	for i := range MaxRecordedChanges + 1 {
		log.record(string(rune(i)), nil, &controlpb.ChangeOutcome{})
	}
	if _, kept := log.byID[string(rune(0))]; kept || len(log.order) != MaxRecordedChanges || len(log.byID) != MaxRecordedChanges {
		t.Errorf("%d and %d IDs kept", len(log.order), len(log.byID))
	}
	if _, kept := log.byID[string(rune(1))]; !kept {
		t.Error("a change ID within the limit was dropped")
	}
}

// A delta must contain what a gateway needs to get from an old revision to the newest document.
func TestDeltaAndPastRevisions(t *testing.T) {
	m := newDriverWithDocument(t)
	m.change(sectionsChange(setSection("services/more", 0, "{owner: beta, credential_sha256: "+zeroSHA256+", workers: 1, slots: 1, connections: 1, rules: [{name: a, methods: [GET], path: /more, callers: [\"beta/*\"], idempotent: true, deadline: 1s}]}\n")), "beta")
	m.change(sectionsChange(setSection("measuring", 1, measuringText+"#\n")), "alpha")
	m.change(sectionsChange(removeSection("services/more", 2)), "beta")
	m.change(&controlpb.Change{Domain: &controlpb.DomainChange{FailureDomain: "d2", Out: true}}, "alpha")
	m.restart(t)
	d := m.DocumentDeltaSince(2)
	if d.Full || d.Revision != 5 || len(d.Sections) != 1 || d.Sections[0].GetName() != "measuring" || !slices.Equal(d.Removed, []string{"services/more"}) || !slices.Equal(d.DomainsOut, []string{"d2"}) {
		t.Errorf("delta since 2: %+v", d)
	}
	if !m.Config().IsDomainOut("d2") || !m.DocumentDeltaSince(0).Full {
		t.Error("d2 is in service, or the delta since revision 0 is not full")
	}
	at2, err := m.SectionsAt(2)
	if err != nil || len(at2) != 6 {
		t.Errorf("%d sections at revision 2, %v", len(at2), err)
	}
	if at4, err := m.SectionsAt(4); err != nil || len(at4) != 5 {
		t.Errorf("%d sections at revision 4, %v", len(at4), err)
	}
	if removed := m.DocumentDeltaSince(1).Removed; len(removed) != 0 {
		t.Errorf("removed since 1: %v", removed)
	}
	var revisionErr *RevisionError
	if _, err := m.SectionsAt(6); !errors.As(err, &revisionErr) {
		t.Errorf("revision 6: %v", err)
	}
	if h := m.History(3, 2); len(h) != 2 || h[0].GetRevision() != 3 {
		t.Errorf("history from 3: %v", h)
	}
}

const zeroSHA256 = "0000000000000000000000000000000000000000000000000000000000000000"

// Guards against a state that grows without bound: old revisions must be dropped, and a gateway at a dropped revision
// must get the whole document.
func TestPastRevisionsAreBounded(t *testing.T) {
	m := newDriverWithDocument(t)
	texts := []string{measuringText, measuringText + "#\n"}
	for i := range uint64(MaxPastRevisions + 5) {
		base := m.sections.revisionOf("measuring")
		if o := m.change(sectionsChange(setSection("measuring", base, texts[(i+1)%2])), "alpha"); o.GetResult() != accepted {
			t.Fatal(o)
		}
	}
	if len(m.sections.past) > MaxPastRevisions || !m.DocumentDeltaSince(1).Full || m.DocumentDeltaSince(m.Revision()-MaxPastRevisions).Full {
		t.Errorf("%d past versions, oldest revision %d of %d", len(m.sections.past), m.sections.oldestRevision, m.Revision())
	}
}

// The claim group of a region must be created only once, and only with voters of that region.
func TestClaimGroups(t *testing.T) {
	m := newDriverWithDocument(t)
	create := func(region string, voters ...*raftpb.Member) ConfigurationResult {
		return m.Apply(m.AppliedIndex()+1, EncodeCreateClaimGroupEntry(region, voters))
	}
	one := &raftpb.Member{Id: 1, Region: "r1"}
	var fault *ClaimGroupError
	for _, r := range []ConfigurationResult{create("r9", one), create("r2", one), create("r1"), create("r1", one, one)} {
		if !errors.As(r.Err, &fault) {
			t.Errorf("got %+v", r)
		}
	}
	first := create("r1", one)
	m.restart(t)
	second := create("r1", &raftpb.Member{Id: 2, Region: "r1"})
	if first.ClaimGroup.GetGroup() != firstClaimGroupNumber || !proto.Equal(first.ClaimGroup, second.ClaimGroup) {
		t.Errorf("first %v, second %v", first.ClaimGroup, second.ClaimGroup)
	}
}

// Entries that cannot be decoded or are already applied must have no effect, and must not stop a replica.
func TestRejectedEntries(t *testing.T) {
	m := newDriverWithDocument(t)
	var entryErr *EntryError
	if r := m.Apply(m.AppliedIndex()+1, []byte{0xff}); !errors.As(r.Err, &entryErr) {
		t.Errorf("got %+v", r)
	}
	var alreadyApplied *AlreadyAppliedError
	create := EncodeCreateClaimGroupEntry("r1", []*raftpb.Member{{Id: 1, Region: "r1"}})
	if r := m.Apply(m.AppliedIndex(), create); !errors.As(r.Err, &alreadyApplied) || len(m.ClaimGroups()) != 0 {
		t.Errorf("got %+v", r)
	}
	if r := m.Apply(m.AppliedIndex()+1, create); r.Err != nil || len(m.ClaimGroups()) != 1 {
		t.Errorf("got %+v", r)
	}
}
