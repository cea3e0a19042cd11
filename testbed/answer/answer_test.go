package answer

import "testing"

// Guards against cut or swapped answers that pass as whole.
func TestVerifyFindsCutAndForeignAnswers(t *testing.T) {
	sum := Digest([]byte("body"))
	text := Encode(Head{Request: "r", Key: "k", BodySHA256: sum}, 100)
	if _, err := Verify(text, "r", "k", sum); err != nil {
		t.Fatalf("whole answer: %v", err)
	}
	for cut := range text {
		if _, err := Verify(text[:cut], "r", "k", sum); err == nil {
			t.Fatalf("an answer cut after %d of %d bytes passed", cut, len(text))
		}
	}
	for _, foreign := range [][3]string{{"r2", "k", sum}, {"r", "k2", sum}, {"r", "k", Digest(nil)}} {
		if _, err := Verify(text, foreign[0], foreign[1], foreign[2]); err == nil {
			t.Errorf("a foreign answer passed as that of %v", foreign)
		}
	}
}
