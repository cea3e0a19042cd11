package document

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"

	"heatherwall.example/api/controlpb"
)

func newTestKey(t *testing.T, signer string) *PrivateKey {
	t.Helper()
	k, err := GenerateKey(signer, "k1", bytes.NewReader(make([]byte, 32)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// A signature must cover the whole change, and one bad signature must invalidate the change.
func TestSignAndVerify(t *testing.T) {
	key := newTestKey(t, "alpha")
	c := mustCompile(t, strings.Replace(sample, testPublicKey, key.PublicKeyBase64(), 1))
	sign := func(keys ...*PrivateKey) *controlpb.SignedChange {
		signed, err := Sign(&controlpb.Change{Id: "1", Comment: "c"}, keys...)
		if err != nil {
			t.Fatal(err)
		}
		return signed
	}
	tampered := sign(key)
	tampered.Change[len(tampered.Change)-1]++
	cases := []struct {
		name   string
		signed *controlpb.SignedChange
		want   SignatureFault
	}{
		{"good", sign(key), ""},
		{"unsigned", sign(), FaultUnsigned},
		{"unknown member", sign(key, newTestKey(t, "gamma")), FaultUnknownKey},
		{"key of another team", sign(newTestKey(t, "alpha/ops")), FaultUnknownKey},
		{"tampered", tampered, FaultMismatch},
	}
	for _, one := range cases {
		signers, err := Verify(one.signed, c.PublicKey)
		var fault *SignatureError
		if one.want == "" && (err != nil || !slices.Equal(signers, []string{"alpha"})) {
			t.Errorf("%s: %v, %v", one.name, signers, err)
		}
		if one.want != "" && (!errors.As(err, &fault) || fault.Fault != one.want) {
			t.Errorf("%s: %v", one.name, err)
		}
	}
}

// A key file must survive a round trip through its text, and mistakes in it must be reported.
func TestKeyFile(t *testing.T) {
	key := newTestKey(t, "alpha/ops")
	again, problems := ParseKeyFile("k", key.FileContents())
	if len(problems) > 0 || again.Signer != "alpha/ops" || again.PublicKeyBase64() != key.PublicKeyBase64() {
		t.Errorf("%+v, %v", again, problems)
	}
	if _, problems := ParseKeyFile("k", []byte("signer: A\nid: k1\nseed: AAAA\nmore: 1\n")); len(problems) != 3 {
		t.Errorf("problems: %v", problems)
	}
	if _, err := GenerateKey("not valid", "k1", bytes.NewReader(make([]byte, 32))); err == nil {
		t.Error("generated a key for an invalid signer")
	}
}

// Guards against wrong kinds of differences, and against a merge that reverts a change that only one side made.
func TestDiffAndMerge(t *testing.T) {
	list := func(texts ...string) []Section {
		var sections []Section
		for i, text := range texts {
			if text != "" {
				sections = append(sections, Section{Name: ServiceSectionName(string(rune('a' + i))), Text: text + "\n"})
			}
		}
		return sections
	}
	base := list("1", "1", "1", "1", "", "1")
	mine := list("1", "2", "1", "2", "2", "2")
	theirs := list("1", "1", "", "3", "", "2")
	var kinds []DiffKind
	differences := Diff(base, mine, theirs)
	for _, d := range differences {
		kinds = append(kinds, d.Kind)
	}
	if want := []DiffKind{DiffMine, DiffTheirs, DiffConflict, DiffMine, DiffSame}; !slices.Equal(kinds, want) {
		t.Errorf("kinds %v", kinds)
	}
	merged, conflicts := Merge(base, mine, theirs)
	if !slices.Equal(merged, list("1", "2", "", "1", "2", "2")) || len(conflicts) != 1 || conflicts[0].Name != "services/d" {
		t.Errorf("merged %v, conflicts %v", merged, conflicts)
	}
	text := RenderDiff(differences)
	for _, want := range []string{"services/d: conflict\n--- base\n+++ yours\n", "-1\n+3\n", "services/c: changed by others\n(removed in theirs)\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
}
