package controlstate

import (
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/controlpb"
)

func (m *configurationDriver) proposeMember(name string, base uint64, text string) *controlpb.ChangeOutcome {
	return m.change(sectionsChange(setSection("members/"+name, base, text)), name)
}

// Checks the steps of one join: an edit of the candidate cancels approvals, a member that joins in the meantime must
// approve too, one that leaves need not, and a repeated approval counts once.
func TestJoinNeedsEveryMember(t *testing.T) {
	m := newDriverWithDocument(t)
	gamma, delta := memberText("gamma", 1), memberText("delta", 1)
	edited := memberText("gamma", 2)
	steps := []struct {
		name    string
		do      func() *controlpb.ChangeOutcome
		want    controlpb.ChangeResult
		waiting []string
	}{
		{"propose", func() *controlpb.ChangeOutcome { return m.proposeMember("gamma", 0, gamma) }, pending, []string{"alpha", "beta"}},
		{"approve", func() *controlpb.ChangeOutcome { return m.approveText("alpha", "gamma", gamma) }, pending, []string{"beta"}},
		{"again", func() *controlpb.ChangeOutcome { return m.approveText("alpha", "gamma", gamma) }, pending, []string{"beta"}},
		{"outdated edit", func() *controlpb.ChangeOutcome { return m.proposeMember("gamma", 0, edited) }, conflict, nil},
		{"edit", func() *controlpb.ChangeOutcome { return m.proposeMember("gamma", 2, edited) }, pending, []string{"alpha", "beta"}},
		{"old text", func() *controlpb.ChangeOutcome { return m.approveText("beta", "gamma", gamma) }, conflict, []string{"alpha", "beta"}},
		{"beta", func() *controlpb.ChangeOutcome { return m.approveText("beta", "gamma", edited) }, pending, []string{"alpha"}},
		{"second candidate", func() *controlpb.ChangeOutcome { return m.proposeMember("delta", 0, delta) }, pending, []string{"alpha", "beta"}},
		{"delta by alpha", func() *controlpb.ChangeOutcome { return m.approveText("alpha", "delta", delta) }, pending, []string{"beta"}},
		{"delta joins", func() *controlpb.ChangeOutcome { return m.approveText("beta", "delta", delta) }, accepted, nil},
		{"alpha", func() *controlpb.ChangeOutcome { return m.approveText("alpha", "gamma", edited) }, pending, []string{"delta"}},
		{"delta leaves", func() *controlpb.ChangeOutcome {
			return m.change(sectionsChange(removeSection("members/delta", m.sections.revisionOf("members/delta"))), "delta")
		}, accepted, nil},
		{"late approval", func() *controlpb.ChangeOutcome { return m.approveText("beta", "gamma", edited) }, nothing, nil},
	}
	for _, s := range steps {
		o := s.do()
		if o.GetResult() != s.want || !slices.Equal(o.GetWaitingFor(), s.waiting) {
			t.Fatalf("%s: %v", s.name, o)
		}
		m.restart(t)
	}
	if want := []string{"alpha", "beta", "gamma"}; !slices.Equal(m.Config().MemberNames(), want) {
		t.Errorf("members %v", m.Config().MemberNames())
	}
}

// Guards against edits of a candidate that it has not signed itself, and against approvals by anyone but a member or in
// the name of another member.
func TestJoinSignatures(t *testing.T) {
	m := newDriverWithDocument(t)
	text := memberText("gamma", 1)
	m.proposeMember("gamma", 0, text)
	takeover := sectionsChange(setSection("members/gamma", 2, memberText("thief", 1)))
	if o := m.change(takeover, "thief"); o.GetResult() != unauthorized {
		t.Errorf("edit with another key: %v", o)
	}
	if o := m.approveText("gamma", "gamma", text); o.GetResult() != unauthorized {
		t.Errorf("approval by the candidate: %v", o)
	}
	forged := &controlpb.Change{Approval: &controlpb.Approval{Member: "beta", Candidate: "gamma"}}
	if o := m.change(forged, "alpha"); o.GetResult() != unauthorized {
		t.Errorf("approval for another member: %v", o)
	}
	if o := m.change(sectionsChange(removeSection("members/gamma", 0)), "beta"); o.GetResult() != accepted || len(m.PendingJoins()) != 0 {
		t.Errorf("withdrawal by a member: %v", o)
	}
}

// joinModel is a reference model of the rule for joins: it holds the members, the pending text of each candidate and
// the members that approved it.
type joinModel struct {
	members  map[string]bool
	texts    map[string]string
	approved map[string]map[string]bool
	order    []string
}

func (j *joinModel) admitReady() {
	for i := 0; i < len(j.order); i++ {
		name := j.order[i]
		ready := true
		for member := range j.members {
			ready = ready && j.approved[name][member]
		}
		if ready {
			j.members[name] = true
			delete(j.texts, name)
			j.order = slices.Delete(j.order, i, i+1)
			i = -1
		}
	}
}

func (j *joinModel) propose(name, text string) {
	if j.texts[name] == text {
		return
	}
	if _, ok := j.texts[name]; !ok {
		j.order = append(j.order, name)
	}
	j.texts[name] = text
	j.approved[name] = map[string]bool{}
}

func (j *joinModel) leave(name string) {
	delete(j.members, name)
	for _, approvals := range j.approved {
		delete(approvals, name)
	}
	j.admitReady()
}

// withoutTexts removes the texts of conflicting sections, which the outcome of a repeat contains only while their
// versions are kept.
func withoutTexts(o *controlpb.ChangeOutcome) *controlpb.ChangeOutcome {
	o = proto.Clone(o).(*controlpb.ChangeOutcome)
	for _, s := range o.GetConflicts() {
		s.Text = ""
	}
	return o
}

// Random joins, edits, approvals, departures, resends and restarts must agree with the model after every step.
func TestJoinsMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newDriverWithDocument(t)
		j := &joinModel{
			members: map[string]bool{"alpha": true, "beta": true}, texts: map[string]string{}, approved: map[string]map[string]bool{},
		}
		names := rapid.SampledFrom([]string{"beta", "gamma", "delta", "eps"})
		anyone := rapid.SampledFrom([]string{"alpha", "beta", "gamma", "delta", "eps"})
		var sent []*controlpb.SignedChange
		var outcomes []*controlpb.ChangeOutcome
		send := func(change *controlpb.Change, signer string) *controlpb.ChangeOutcome {
			signed := m.sign(change, signer)
			sent = append(sent, signed)
			outcomes = append(outcomes, m.apply(signed))
			return outcomes[len(outcomes)-1]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"propose": func(rt *rapid.T) {
				name, limit := names.Draw(rt, "name"), rapid.IntRange(1, 2).Draw(rt, "limit")
				if j.members[name] {
					return
				}
				text := memberText(name, limit)
				send(sectionsChange(setSection("members/"+name, m.pendingMember(name).GetRevision(), text)), name)
				j.propose(name, text)
			},
			"approve": func(rt *rapid.T) {
				name, by, limit := names.Draw(rt, "name"), anyone.Draw(rt, "by"), rapid.IntRange(1, 2).Draw(rt, "limit")
				text := memberText(name, limit)
				a := &controlpb.Change{Approval: &controlpb.Approval{Member: by, Candidate: name, TextSha256: textHash(text)}}
				send(a, by)
				if j.members[by] && j.texts[name] == text {
					j.approved[name][by] = true
					j.admitReady()
				}
			},
			"leave": func(rt *rapid.T) {
				name := names.Draw(rt, "name")
				if !j.members[name] {
					return
				}
				o := send(sectionsChange(removeSection("members/"+name, m.sections.revisionOf("members/"+name))), name)
				if o.GetResult() != accepted {
					rt.Fatalf("leaving refused: %v", o)
				}
				j.leave(name)
			},
			"resend": func(rt *rapid.T) {
				if len(sent) == 0 {
					return
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(rt, "which")
				if o := m.apply(sent[i]); !proto.Equal(withoutTexts(o), withoutTexts(outcomes[i])) {
					rt.Fatalf("repeat gives %v, first was %v", o, outcomes[i])
				}
			},
			"restart": func(rt *rapid.T) { m.restart(rt) },
			"": func(rt *rapid.T) {
				if want := slices.Sorted(maps.Keys(j.members)); !slices.Equal(m.Config().MemberNames(), want) {
					rt.Fatalf("members %v, want %v", m.Config().MemberNames(), want)
				}
				for _, p := range m.PendingJoins() {
					if p.GetText() != j.texts[p.GetCandidate()] {
						rt.Fatalf("candidate %s has text %q", p.GetCandidate(), p.GetText())
					}
					if want := slices.Sorted(maps.Keys(j.approved[p.GetCandidate()])); !slices.Equal(p.GetApprovedBy(), want) {
						rt.Fatalf("candidate %s approved by %v, want %v", p.GetCandidate(), p.GetApprovedBy(), want)
					}
				}
				if len(m.PendingJoins()) != len(j.texts) {
					rt.Fatalf("%d candidates, want %d", len(m.PendingJoins()), len(j.texts))
				}
			},
		})
	})
}
