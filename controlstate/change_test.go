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

// Guards the answer to each kind of change on the document of founded, and that refusals change nothing.
func TestChangeOutcomes(t *testing.T) {
	labels := func(owner, region string, workers int) *controlpb.SectionChange {
		return set("services/labels", 1, serviceText(owner, region, workers))
	}
	out := func(name string) *controlpb.Change {
		return &controlpb.Change{Domain: &controlpb.DomainChange{FailureDomain: name, Out: true}}
	}
	cases := []struct {
		name    string
		change  *controlpb.Change
		signers []string
		want    controlpb.ChangeResult
		reason  string
	}{
		{"owner team", sections(labels("alpha/ops", "r1", 13)), []string{"alpha/ops"}, accepted, ""},
		{"owner member", sections(labels("alpha/ops", "r1", 13)), []string{"alpha"}, accepted, ""},
		{"other member", sections(labels("alpha/ops", "r1", 13)), []string{"beta"}, unauthorized, ReasonOwner},
		{"team for member", sections(set("measuring", 1, measuringText+"#\n")), []string{"alpha/ops"}, unauthorized, ReasonOwner},
		{"transfer by old owner only", sections(labels("beta", "r1", 12)), []string{"alpha"}, unauthorized, ReasonOwner},
		{"transfer", sections(labels("beta", "r1", 12)), []string{"alpha", "beta"}, accepted, ""},
		{"no signature", sections(labels("alpha", "r1", 13)), nil, unauthorized, ReasonSignature},
		{"stranger", sections(labels("alpha", "r1", 13)), []string{"gamma"}, unauthorized, ReasonSignature},
		{"equal text", sections(labels("alpha/ops", "r1", 12)), []string{"beta"}, nothing, ""},
		{"old base", sections(set("measuring", 0, measuringText+"#\n")), []string{"alpha"}, conflict, ""},
		{"claim region", sections(labels("alpha", "r2", 12)), []string{"alpha"}, invalid, ReasonClaimRegion},
		{"invalid text", sections(set("measuring", 1, "owner: alpha\n")), []string{"alpha"}, invalid, "missing"},
		{"owner unknown", sections(set("measuring", 1, "{owner: alpha/x, within_region: 1KiB, across_regions: 1B}\n")), []string{"alpha"}, invalid, "unknown_name"},
		{"section twice", sections(labels("alpha", "r1", 2), labels("alpha", "r1", 3)), []string{"alpha"}, invalid, ReasonSectionName},
		{"join with others", sections(set("members/gamma", 0, memberText("gamma", 1)), labels("alpha", "r1", 2)), []string{"gamma", "alpha"}, invalid, ReasonJoinAlone},
		{"join by another member", sections(set("members/gamma", 0, memberText("gamma", 1))), []string{"beta"}, unauthorized, ReasonOwner},
		{"domain out", out("d3"), []string{"alpha/ops"}, accepted, ""},
		{"domain by another member", out("d3"), []string{"beta"}, unauthorized, ReasonOwner},
		{"domain unknown", out("d9"), []string{"alpha"}, invalid, ReasonFailureDomain},
		{"two kinds", &controlpb.Change{Domain: &controlpb.DomainChange{}, Approval: &controlpb.Approval{}}, []string{"alpha"}, invalid, ReasonKind},
		{"second first document", firstDocument(), []string{"alpha", "beta"}, nothing, ""},
		{"leaving", sections(remove("members/beta", 1)), []string{"beta"}, accepted, ""},
		{"leaving but in use", sections(remove("members/alpha", 1)), []string{"alpha"}, invalid, "unknown_name"},
		{"exclusion", sections(remove("members/beta", 1)), []string{"alpha"}, unauthorized, ReasonOwner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := founded(t)
			before := m.Sections()
			o := m.change(c.change, c.signers...)
			if o.GetResult() != c.want {
				t.Fatalf("got %v", o)
			}
			if c.reason != "" && (len(o.GetProblems()) == 0 || o.GetProblems()[0].GetReason() != c.reason) {
				t.Errorf("want reason %s, got %v", c.reason, o)
			}
			if moved := m.Revision() != 1; moved != (c.want == accepted) {
				t.Errorf("revision %d after %v", m.Revision(), o.GetResult())
			}
			if c.want != accepted && !slices.Equal(before, m.Sections()) {
				t.Error("a refused change changed sections")
			}
		})
	}
}

// The first document must carry the signature of each of its members and counts once.
func TestFirstDocument(t *testing.T) {
	m := &machine{Configuration: NewConfiguration()}
	if o := m.change(firstDocument(), "alpha"); o.GetResult() != unauthorized || m.Revision() != 0 {
		t.Fatalf("without beta: %v", o)
	}
	if o := m.change(sections(set("topology", 0, topologyText)), "alpha"); o.GetResult() == accepted {
		t.Fatalf("part of a document: %v", o)
	}
	if o := m.change(firstDocument(), "alpha", "beta"); o.GetResult() != accepted || o.GetRevision() != 1 {
		t.Fatalf("first document: %v", o)
	}
}

// A claim region must stay the same when a removed service comes back, also after a restart.
func TestClaimRegionOutlivesService(t *testing.T) {
	m := founded(t)
	if o := m.change(sections(remove("services/labels", 1)), "alpha"); o.GetResult() != accepted {
		t.Fatal(o)
	}
	m.restart(t)
	if o := m.change(sections(set("services/labels", 0, serviceText("alpha", "r2", 12))), "alpha"); o.GetResult() != invalid {
		t.Fatalf("other region: %v", o)
	}
	if o := m.change(sections(set("services/labels", 0, serviceText("alpha", "r1", 12))), "alpha"); o.GetResult() != accepted {
		t.Fatalf("same region: %v", o)
	}
}

// A repeated change ID must give the first outcome across restarts, also for refusals and after its key was replaced;
// the same ID with other content must be refused.
func TestChangeIDs(t *testing.T) {
	m := founded(t)
	lost := m.sign(sections(set("measuring", 1, measuringText+"#1\n")), "alpha")
	refused := m.sign(sections(set("measuring", 1, measuringText+"#2\n")), "beta")
	forged := m.sign(sections(set("measuring", 1, measuringText+"#5\n")), "gamma")
	first, firstRefused, firstForged := m.apply(lost), m.apply(refused), m.apply(forged)
	m.change(sections(set("measuring", 2, measuringText+"#3\n")), "alpha")
	beaten := m.sign(sections(set("measuring", 2, measuringText+"#4\n")), "alpha")
	firstBeaten := m.apply(beaten)
	m.restart(t)
	revision := m.Revision()
	for _, c := range []struct {
		signed *controlpb.SignedChange
		want   *controlpb.ChangeOutcome
	}{{lost, first}, {refused, firstRefused}, {forged, firstForged}, {beaten, firstBeaten}} {
		r := m.Apply(m.Applied()+1, ChangeEntry(c.signed))
		if !r.Repeated || !proto.Equal(r.Outcome, c.want) {
			t.Errorf("repeat gives %v, first was %v", r.Outcome, c.want)
		}
	}
	m.ids = 1
	if o := m.change(sections(set("measuring", 3, measuringText)), "alpha"); o.GetResult() != invalid || o.GetProblems()[0].GetReason() != ReasonChangeIDUsed {
		t.Errorf("used ID with other content: %v", o)
	}
	if m.Revision() != revision {
		t.Errorf("revision moved from %d to %d", revision, m.Revision())
	}
}

// Change IDs must be kept for 10,000 changes and not longer.
func TestChangeIDLimit(t *testing.T) {
	log := newChangeLog()
	for i := range KeptChanges + 1 {
		log.record(string(rune(i)), nil, &controlpb.ChangeOutcome{})
	}
	if _, kept := log.byID[string(rune(0))]; kept || len(log.order) != KeptChanges || len(log.byID) != KeptChanges {
		t.Errorf("%d and %d IDs kept", len(log.order), len(log.byID))
	}
	if _, kept := log.byID[string(rune(1))]; !kept {
		t.Error("a change ID within the limit was dropped")
	}
}

// A delta applied to an old revision must give the newest document.
func TestDeltaAndPastRevisions(t *testing.T) {
	m := founded(t)
	m.change(sections(set("services/more", 0, "{owner: beta, credential_sha256: "+zeros+", workers: 1, slots: 1, connections: 1, rules: [{name: a, methods: [GET], path: /more, callers: [\"beta/*\"], idempotent: true, deadline: 1s}]}\n")), "beta")
	m.change(sections(set("measuring", 1, measuringText+"#\n")), "alpha")
	m.change(sections(remove("services/more", 2)), "beta")
	m.change(&controlpb.Change{Domain: &controlpb.DomainChange{FailureDomain: "d2", Out: true}}, "alpha")
	m.restart(t)
	d := m.DeltaSince(2)
	if d.Full || d.Revision != 5 || len(d.Sections) != 1 || d.Sections[0].GetName() != "measuring" || !slices.Equal(d.Removed, []string{"services/more"}) || !slices.Equal(d.DomainsOut, []string{"d2"}) {
		t.Errorf("delta since 2: %+v", d)
	}
	if !m.Config().IsDomainOut("d2") || !m.DeltaSince(0).Full {
		t.Error("d2 is in, or the first delta is not full")
	}
	at2, err := m.SectionsAt(2)
	if err != nil || len(at2) != 6 {
		t.Errorf("%d sections at revision 2, %v", len(at2), err)
	}
	if at4, err := m.SectionsAt(4); err != nil || len(at4) != 5 {
		t.Errorf("%d sections at revision 4, %v", len(at4), err)
	}
	if removed := m.DeltaSince(1).Removed; len(removed) != 0 {
		t.Errorf("removed since 1: %v", removed)
	}
	var gone *RevisionError
	if _, err := m.SectionsAt(6); !errors.As(err, &gone) {
		t.Errorf("revision 6: %v", err)
	}
	if h := m.History(3, 2); len(h) != 2 || h[0].GetRevision() != 3 {
		t.Errorf("history from 3: %v", h)
	}
}

const zeros = "0000000000000000000000000000000000000000000000000000000000000000"

// Old revisions must be forgotten, so that the state stays bounded; a gateway that old gets the whole document.
func TestPastRevisionsAreBounded(t *testing.T) {
	m := founded(t)
	texts := []string{measuringText, measuringText + "#\n"}
	for i := range uint64(KeptRevisions + 5) {
		base := m.sections.revisionOf("measuring")
		if o := m.change(sections(set("measuring", base, texts[(i+1)%2])), "alpha"); o.GetResult() != accepted {
			t.Fatal(o)
		}
	}
	if len(m.sections.past) > KeptRevisions || !m.DeltaSince(1).Full || m.DeltaSince(m.Revision()-KeptRevisions).Full {
		t.Errorf("%d past versions, oldest revision %d of %d", len(m.sections.past), m.sections.oldest, m.Revision())
	}
}

// A claim group must be created once, with voters of its region only.
func TestClaimGroups(t *testing.T) {
	m := founded(t)
	create := func(region string, voters ...*raftpb.Member) Result {
		return m.Apply(m.Applied()+1, CreateClaimGroupEntry(region, voters))
	}
	one := &raftpb.Member{Id: 1, Region: "r1"}
	var fault *ClaimGroupError
	for _, r := range []Result{create("r9", one), create("r2", one), create("r1"), create("r1", one, one)} {
		if !errors.As(r.Err, &fault) {
			t.Errorf("got %+v", r)
		}
	}
	first := create("r1", one)
	m.restart(t)
	second := create("r1", &raftpb.Member{Id: 2, Region: "r1"})
	if first.Group.GetGroup() != firstClaimGroup || !proto.Equal(first.Group, second.Group) {
		t.Errorf("first %v, second %v", first.Group, second.Group)
	}
}

// Entries that cannot be read or were applied before must have no effect, and must not stop a replica.
func TestUnusableEntries(t *testing.T) {
	m := founded(t)
	var entry *EntryError
	if r := m.Apply(m.Applied()+1, []byte{0xff}); !errors.As(r.Err, &entry) {
		t.Errorf("got %+v", r)
	}
	var again *AppliedError
	create := CreateClaimGroupEntry("r1", []*raftpb.Member{{Id: 1, Region: "r1"}})
	if r := m.Apply(m.Applied(), create); !errors.As(r.Err, &again) || len(m.ClaimGroups()) != 0 {
		t.Errorf("got %+v", r)
	}
	if r := m.Apply(m.Applied()+1, create); r.Err != nil || len(m.ClaimGroups()) != 1 {
		t.Errorf("got %+v", r)
	}
}
