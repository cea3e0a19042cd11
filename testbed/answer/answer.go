// Package answer builds and verifies the response bodies of stand-in backend servers. A body is a JSON line, filler, and
// a last line with the SHA-256 of everything before it, so that a caller detects a response that is truncated or belongs
// to another request.
package answer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Headers between the load generator and stand-in servers. Gateways forward them like any other header.
const (
	RequestHeader = "Standin-Request"
	AttemptHeader = "Standin-Sending"
	CrashHeader   = "Standin-Crash"
	// OriginHeader is the region and failure domain of the gateway as REGION/DOMAIN, from which the server derives the
	// latency to simulate.
	OriginHeader = "Standin-Origin"
)

// Head is the first line of a response body.
type Head struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Server  string `json:"server"`
	Region  string `json:"region"`
	// BodySHA256 is the hexadecimal digest of the request body as the server read it.
	BodySHA256 string `json:"body_sha256"`
}

// MismatchError reports a body that is not the complete response to the request.
type MismatchError struct {
	Field    string
	Expected string
	Got      string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s: expected %q, got %q", e.Field, e.Expected, e.Got)
}

const lineEnd = '\n'

// Encode returns a response body with the given number of filler bytes.
func Encode(h Head, filler int) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	var b bytes.Buffer
	b.Write(line)
	b.WriteByte(lineEnd)
	b.Write(bytes.Repeat([]byte{'.'}, filler))
	b.WriteByte(lineEnd)
	b.WriteString(Digest(b.Bytes()))
	return b.Bytes()
}

// Digest returns the hexadecimal SHA-256 of body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Verify checks that body is the complete response to the request and returns its head. An error is a *MismatchError.
func Verify(body []byte, request, key, bodySHA256 string) (Head, error) {
	var h Head
	end := bytes.LastIndexByte(body, lineEnd)
	if end < 0 {
		return h, &MismatchError{Field: "checksum", Expected: "a last line", Got: "none"}
	}
	covered, sum := body[:end+1], string(body[end+1:])
	if sum != Digest(covered) {
		return h, &MismatchError{Field: "checksum", Expected: Digest(covered), Got: sum}
	}
	first, _, _ := bytes.Cut(covered, []byte{lineEnd})
	if err := json.Unmarshal(first, &h); err != nil {
		return h, &MismatchError{Field: "head", Expected: "JSON", Got: err.Error()}
	}
	for _, f := range [][3]string{
		{"request", request, h.Request},
		{"key", key, h.Key},
		{"body_sha256", bodySHA256, h.BodySHA256},
	} {
		if f[1] != f[2] {
			return h, &MismatchError{Field: f[0], Expected: f[1], Got: f[2]}
		}
	}
	return h, nil
}
