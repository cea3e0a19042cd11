package document

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
)

func (r *reader) member(name positionedName, f field) memberSpec {
	m := r.mapping(f, "keys", "teams", "tenants", "limit")
	s := memberSpec{name: name}
	s.keys = r.keys(m.required("keys"))
	for _, e := range r.entries(m.optional("teams")) {
		r.checkName(e.key)
		s.teams = append(s.teams, teamSpec{name: e.key, keys: r.keys(e.value)})
	}
	for _, e := range r.entries(m.optional("tenants")) {
		r.checkName(e.key)
		s.tenants = append(s.tenants, r.tenant(e.key, e.value))
	}
	s.limit = int(r.integer(m.optional("limit"), 1, maxMemberLimit))
	return s
}

func (r *reader) keys(f field) []keySpec {
	items := r.items(f)
	if f.node != nil && len(items) == 0 {
		r.report(f.at, ReasonMissing, "expected at least one key")
	}
	var list []keySpec
	seen := map[string]bool{}
	for _, item := range items {
		m := r.mapping(item, "id", "public_key")
		k := keySpec{id: r.name(m.required("id")), publicKey: r.publicKey(m.required("public_key"))}
		if k.id.name != "" && seen[k.id.name] {
			r.report(k.id.at, ReasonDuplicate, "expected each key id once")
		}
		seen[k.id.name] = true
		list = append(list, k)
	}
	return list
}

func (r *reader) publicKey(f field) ed25519.PublicKey {
	const want = "an Ed25519 public key, 32 bytes in base64"
	text := r.scalar(f, want)
	if text == "" {
		return nil
	}
	key, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return nil
	}
	return key
}

func (r *reader) tenant(name positionedName, f field) tenantSpec {
	m := r.mapping(f, "home_regions", "callers")
	t := tenantSpec{name: name, homeRegions: r.regionList(m.optional("home_regions"))}
	seen := map[string]bool{}
	for _, item := range r.items(m.optional("callers")) {
		c := r.caller(item)
		if c.name.name != "" && seen[c.name.name] {
			r.report(c.name.at, ReasonDuplicate, "expected each caller once")
		}
		seen[c.name.name] = true
		t.callers = append(t.callers, c)
	}
	return t
}

func (r *reader) caller(f field) callerSpec {
	m := r.mapping(f, "name", "token_sha256")
	return callerSpec{name: r.name(m.required("name")), token: r.hash(m.required("token_sha256"))}
}

func (r *reader) hash(f field) hashValue {
	const want = "a SHA-256 hash, 64 lower case hex digits"
	text := r.scalar(f, want)
	if text == "" {
		return hashValue{}
	}
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != 32 || hex.EncodeToString(sum) != text {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return hashValue{}
	}
	return hashValue{sum: [32]byte(sum), at: f.at, valid: true}
}

func (r *reader) regionList(f field) regionList {
	l := regionList{present: f.node != nil, names: r.names(f)}
	if l.present && len(f.node.Content) == 0 {
		r.report(f.at, ReasonMissing, "expected at least one region")
	}
	return l
}
