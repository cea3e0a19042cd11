package control

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// Guards against a committed entry that cannot be read and ends every replica that applies it, at once and at each start.
func TestUnreadableEntriesAreSkipped(t *testing.T) {
	var lines bytes.Buffer
	l := newLoop(&raftpb.Member{Id: 1}, 1, telemetry.NewLogger(&lines, telemetry.Info), newCounters())
	g := newGroup(configurationGroup, "", 1, nil, nil, newConfigurationMachine())
	l.addGroup(g)
	own := make([]byte, proposalHeaderBytes)
	binary.LittleEndian.PutUint64(own, 1)
	for i, data := range [][]byte{{1}, {1, 2, 3}, append(own, 0xff, 0xff), append(own, 0x0a)} {
		e := &raftpb.Entry{Index: uint64(i + 1), Type: raftpb.EntryType_ENTRY_DATA, Data: data}
		if err := g.apply(raft.Ready{CommittedEntries: []*raftpb.Entry{e}}); err != nil || g.applied != e.Index {
			t.Errorf("entry % x: %v, applied %d", data, err, g.applied)
		}
	}
	if n := strings.Count(lines.String(), `"entry_skipped"`); n != 4 {
		t.Errorf("%d log lines, want 4: %s", n, lines.String())
	}
}
