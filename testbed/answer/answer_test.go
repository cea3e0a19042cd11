package answer

import "testing"

// Guards against accepting a truncated response or the response to another request.
func TestVerifyDetectsTruncatedAndForeignResponses(t *testing.T) {
	sum := Digest([]byte("body"))
	text := Encode(Head{Request: "r", Key: "k", BodySHA256: sum}, 100)
	if _, err := Verify(text, "r", "k", sum); err != nil {
		t.Fatalf("complete response: %v", err)
	}
	for cut := range text {
		if _, err := Verify(text[:cut], "r", "k", sum); err == nil {
			t.Fatalf("a response truncated after %d of %d bytes was accepted", cut, len(text))
		}
	}
	for _, foreign := range [][3]string{{"r2", "k", sum}, {"r", "k2", sum}, {"r", "k", Digest(nil)}} {
		if _, err := Verify(text, foreign[0], foreign[1], foreign[2]); err == nil {
			t.Errorf("a response to another request was accepted as that to %v", foreign)
		}
	}
}
