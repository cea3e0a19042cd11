package control

import (
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"
)

// maxAppliedTimes bounds the number of revisions whose apply time is kept.
const maxAppliedTimes = 4096

// configurationMachine applies the entries of the configuration group.
type configurationMachine struct {
	state *controlstate.Configuration
	// appliedTimes holds when this process applied each revision, which is never before the revision was committed.
	appliedTimes map[uint64]time.Time
}

func newConfigurationMachine() *configurationMachine {
	return &configurationMachine{state: controlstate.NewConfiguration(), appliedTimes: map[uint64]time.Time{}}
}

func (m *configurationMachine) Apply(index uint64, entry []byte) any {
	result := m.state.Apply(index, entry)
	if r := m.state.Revision(); m.appliedTimes[r].IsZero() {
		m.appliedTimes[r] = time.Now()
		delete(m.appliedTimes, r-maxAppliedTimes)
	}
	return result
}

func (m *configurationMachine) Snapshot() ([]byte, error) {
	return m.state.Snapshot(), nil
}

func (m *configurationMachine) Restore(data []byte) error {
	if len(data) == 0 {
		m.state = controlstate.NewConfiguration()
		return nil
	}
	state, err := controlstate.RestoreConfiguration(data)
	if err != nil {
		return err
	}
	m.state = state
	m.appliedTimes[state.Revision()] = time.Now()
	return nil
}

func (m *configurationMachine) revision() uint64 {
	return m.state.Revision()
}

// appliedAt returns when this process applied the revision, and false if that time is not kept.
func (m *configurationMachine) appliedAt(revision uint64) (time.Time, bool) {
	t, ok := m.appliedTimes[revision]
	return t, ok
}

func (m *configurationMachine) regions() []string {
	if m.state.Config() == nil {
		return nil
	}
	var names []string
	for _, region := range m.state.Config().Regions {
		names = append(names, region.Name)
	}
	return names
}

func (m *configurationMachine) documentDelta(since uint64) *controlpb.RenewAnswer {
	d := m.state.DocumentDeltaSince(since)
	return &controlpb.RenewAnswer{
		Revision: d.Revision, Full: d.Full, Sections: d.Sections, Removed: d.Removed, DomainsOut: d.DomainsOut,
	}
}

func (m *configurationMachine) statusAnswer() *controlpb.StatusAnswer {
	return &controlpb.StatusAnswer{Revision: m.state.Revision(), DomainsOut: m.state.DomainsOut()}
}

// proposeChange proposes a signed change and passes its outcome to done.
func (r *replica) proposeChange(g *group, change *controlpb.SignedChange, done func(*controlpb.ChangeOutcome, error)) {
	g.propose(controlstate.EncodeChangeEntry(change), func(result any, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		decision := result.(controlstate.ConfigurationResult)
		done(decision.Outcome, decision.Err)
	})
}

// claimsMachine applies the entries of a claim group.
type claimsMachine struct {
	state *controlstate.Claims
}

func newClaimsMachine() *claimsMachine {
	return &claimsMachine{state: controlstate.NewClaims(controlstate.ClaimLimits{})}
}

func (m *claimsMachine) Apply(index uint64, entry []byte) any {
	return m.state.Apply(index, entry)
}

func (m *claimsMachine) Snapshot() ([]byte, error) {
	return m.state.Snapshot(), nil
}

func (m *claimsMachine) Restore(data []byte) error {
	if len(data) == 0 {
		m.state = controlstate.NewClaims(controlstate.ClaimLimits{})
		return nil
	}
	state, err := controlstate.RestoreClaims(controlstate.ClaimLimits{}, data)
	if err != nil {
		return err
	}
	m.state = state
	return nil
}

// claimCallback receives the result of one command; leader is the address of the leader if another replica leads the
// group.
type claimCallback func(result controlstate.CommandResult, leader string, err error)

// pendingClaimCommand is one command of a batch and the callback of the request that waits for it.
type pendingClaimCommand struct {
	command *statepb.ClaimsCommand
	done    claimCallback
}

// flush proposes the collected commands as one entry and empties the batch.
func (b *claimBatch) flush() {
	commands := b.commands
	b.commands = nil
	list := make([]*statepb.ClaimsCommand, len(commands))
	for i, c := range commands {
		list[i] = c.command
	}
	b.group.propose(controlstate.EncodeClaimsEntry(list), func(result any, err error) {
		batch, _ := result.(controlstate.BatchResult)
		if err == nil {
			err = batch.Err
		}
		for i, c := range commands {
			if err != nil {
				c.done(controlstate.CommandResult{}, "", err)
				continue
			}
			c.done(batch.Results[i], "", nil)
		}
	})
}

// flushClaims proposes the claim commands collected in the current loop iteration.
func (r *replica) flushClaims() {
	for _, g := range r.loop.ordered {
		if b := r.batches[g.id]; b != nil && len(b.commands) > 0 {
			b.flush()
		}
	}
}
