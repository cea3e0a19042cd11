package control

import "heatherwall.example/telemetry"

// snapshotPolicy determines when the state of a group is saved and its log compacted, so that a restart replays few
// entries.
type snapshotPolicy struct {
	// A snapshot is due when the entries since the last snapshot reach this number.
	entries int
	// A snapshot is also due when the entries since the last snapshot reach this size in bytes.
	bytes int
	// proportional delays a snapshot until the entries since the last snapshot are as large as that snapshot, so that
	// snapshots at most double the bytes written to the disk.
	proportional bool
}

var (
	// Replaying a change costs as much as validating the whole document, and changes are rare.
	configurationSnapshots = snapshotPolicy{entries: 100, bytes: 4 << 20}
	// Replaying claims is cheap, and their state is large.
	claimSnapshots = snapshotPolicy{entries: 5000, bytes: 16 << 20, proportional: true}
)

func (p snapshotPolicy) isDue(entries, bytes, lastSize int) bool {
	if p.proportional && bytes < lastSize {
		return false
	}
	return entries >= p.entries || bytes >= p.bytes
}

func snapshotPolicyFor(id uint64) snapshotPolicy {
	if id == configurationGroup {
		return configurationSnapshots
	}
	return claimSnapshots
}

// compact saves the state of the group and compacts the log if the snapshot policy requires it.
func (g *group) compact(l *loop) error {
	if !g.policy.isDue(g.entriesSinceSnapshot, g.bytesSinceSnapshot, g.lastSnapshotBytes) {
		return nil
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		return err
	}
	s, err := g.node.NewSnapshot(g.applied, data)
	if err != nil {
		return err
	}
	if err := g.log.SaveSnapshot(s); err != nil {
		return err
	}
	g.counters.snapshots.Inc(1)
	g.entriesSinceSnapshot, g.bytesSinceSnapshot, g.lastSnapshotBytes = 0, 0, len(data)
	l.log.Log(eventSnapshotSaved, telemetry.F("group", g.id), telemetry.F("index", s.Index), telemetry.F("bytes", len(data)))
	return nil
}
