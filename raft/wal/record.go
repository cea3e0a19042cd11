package wal

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/raftpb"
)

// Fields of the protobuf message in a log frame.
const (
	// fieldHardState is a raftpb.HardState.
	fieldHardState protowire.Number = 1
	// fieldEntry is a raftpb.Entry and may be repeated.
	fieldEntry protowire.Number = 2
	// fieldReplaced is a bool: a snapshot has replaced the whole log, so that all earlier entries are invalid.
	fieldReplaced protowire.Number = 3
)

// record is the decoded payload of a log frame.
type record struct {
	hardState *raftpb.HardState
	entries   []*raftpb.Entry
	replaced  bool
}

func (r record) encode() ([]byte, error) {
	var out []byte
	if r.replaced {
		out = protowire.AppendTag(out, fieldReplaced, protowire.VarintType)
		out = protowire.AppendVarint(out, protowire.EncodeBool(true))
	}
	var err error
	if r.hardState != nil {
		if out, err = appendMessage(out, fieldHardState, r.hardState); err != nil {
			return nil, err
		}
	}
	for _, e := range r.entries {
		if out, err = appendMessage(out, fieldEntry, e); err != nil {
			return nil, err
		}
	}
	if len(out) > maxFrameBytes {
		return nil, &FrameTooLargeError{Size: len(out), Max: maxFrameBytes}
	}
	return out, nil
}

func appendMessage(out []byte, field protowire.Number, m proto.Message) ([]byte, error) {
	out = protowire.AppendTag(out, field, protowire.BytesType)
	out = protowire.AppendVarint(out, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, m)
}

// decodeRecord is the inverse of encode. The decoded entries do not share memory with the payload.
func decodeRecord(payload []byte) (record, error) {
	var r record
	for len(payload) > 0 {
		field, kind, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return r, protowire.ParseError(n)
		}
		payload = payload[n:]
		n = protowire.ConsumeFieldValue(field, kind, payload)
		if n < 0 {
			return r, protowire.ParseError(n)
		}
		if err := r.decodeField(field, kind, payload[:n]); err != nil {
			return r, err
		}
		payload = payload[n:]
	}
	return r, nil
}

func (r *record) decodeField(field protowire.Number, kind protowire.Type, value []byte) error {
	if kind == protowire.VarintType && field == fieldReplaced {
		r.replaced = true
		return nil
	}
	if kind != protowire.BytesType {
		return nil
	}
	body, _ := protowire.ConsumeBytes(value)
	switch field {
	case fieldHardState:
		r.hardState = &raftpb.HardState{}
		return proto.Unmarshal(body, r.hardState)
	case fieldEntry:
		e := &raftpb.Entry{}
		r.entries = append(r.entries, e)
		return proto.Unmarshal(body, e)
	}
	return nil
}
