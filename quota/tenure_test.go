package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cluster is a control group in which reads and entries take time, replicas restart, stop and are cut off, and entries of
// earlier processes are late.
type cluster struct {
	now    time.Duration
	owners Owners
	// changed is the index of the last entry that changed owners, and assigned of the last that assigned slots.
	changed, assigned, index uint64
	replicas                 map[uint64]*owner
	late                     []entry
	// heardAt is when the leader last heard of each replica.
	heardAt map[uint64]time.Duration
}

type entry struct {
	Assignment
	// basedOn is the index of the last change, or for a begin of the last assignment, that the proposer knows.
	basedOn uint64
	// begins is the replica that begins; 0 for an assignment. done is called once the entry has been applied.
	begins uint64
	done   func()
}

// owner is a process of a replica.
type owner struct {
	id     uint64
	tenure *Tenure
	cut    bool
	// applied and assigned are the indexes of the last change and the last assignment that the process has applied.
	applied, assigned uint64
}

func (c *cluster) commit(e entry) {
	c.index++
	switch {
	case e.begins != 0 && e.basedOn == c.assigned:
		c.owners = c.owners.Activate(e.begins)
	case e.begins == 0 && e.basedOn == c.changed:
		c.owners, c.assigned = c.owners.Assign(c.index, e.Assignment), c.index
	default:
		return
	}
	c.changed = c.index
	for _, o := range c.replicas {
		if !o.cut {
			c.apply(o)
		}
	}
	if e.done != nil {
		e.done()
	}
}

func (c *cluster) apply(o *owner) {
	if o.applied != c.changed {
		o.applied, o.assigned = c.changed, c.assigned
		o.tenure.Apply(c.now, c.owners)
	}
}

func (c *cluster) restart(id uint64) {
	c.replicas[id] = &owner{id: id, tenure: NewTenure(id), cut: c.replicas[id] != nil && c.replicas[id].cut}
	if !c.replicas[id].cut {
		c.apply(c.replicas[id])
	}
}

// begin proposes that a replica begins, if it is due. Its entry may be late.
func (c *cluster) begin(o *owner, late bool) {
	if !o.tenure.IsDueToBegin(c.now) {
		return
	}
	e := entry{basedOn: o.assigned, begins: o.id, done: func() {
		if c.replicas[o.id] == o && !o.cut {
			o.tenure.Begin(c.now)
		}
	}}
	if late {
		c.late = append(c.late, e)
		return
	}
	c.commit(e)
}

// givers returns the replicas that may give tokens from a slot.
func (c *cluster) givers(slot int) (list []uint64) {
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		if _, ok := c.replicas[id].tenure.Since(c.now, slot); ok {
			list = append(list, id)
		}
	}
	return list
}

// Guards against two replicas that give tokens of a workspace at the same time, whatever fails in between.
func TestSlotHasOneGiver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &cluster{now: time.Second, replicas: map[uint64]*owner{}, heardAt: map[uint64]time.Duration{}}
		ids := []uint64{11, 12, 13}
		for _, id := range ids {
			c.restart(id)
		}
		var pending []func()
		gave := false
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			id := rapid.SampledFrom(ids).Draw(rt, "replica")
			o := c.replicas[id]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2:
				c.now += time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
			case 3: // a read that is confirmed at once, or later
				if began := c.now; !o.cut {
					c.heardAt[id] = c.now
					o.tenure.Confirm(began)
				}
			case 4:
				if began := c.now; !o.cut {
					c.heardAt[id] = c.now
					pending = append(pending, func() { o.tenure.Confirm(began) })
				}
			case 5:
				o.cut = !o.cut
				if !o.cut {
					c.apply(o)
				}
			case 6:
				c.restart(id)
			case 7: // the leader takes its slots from a replica, dead or not
				live := slices.DeleteFunc(slices.Clone(ids), func(other uint64) bool { return other == id })
				if owners, changed := c.owners.Reassign(live, live); changed {
					waited := min(c.now-c.heardAt[id], TenureLength)
					c.commit(entry{basedOn: c.changed, Assignment: Assignment{Owners: owners, Waited: waited}})
				}
			case 8: // a planned stop, whose entry may be late
				others := slices.DeleteFunc(slices.Clone(ids), func(other uint64) bool { return other == id })
				owners, changed := c.owners.Reassign(others, others)
				if !changed || o.cut {
					break
				}
				o.tenure.Stop()
				release := entry{basedOn: o.applied, Assignment: Assignment{Owners: owners, Released: id}}
				if rapid.Bool().Draw(rt, "late") {
					c.late = append(c.late, release)
				} else {
					c.commit(release)
				}
			default:
				if len(c.late) > 0 && rapid.Bool().Draw(rt, "late entry") {
					c.commit(c.late[0])
					c.late = c.late[1:]
				}
				for _, f := range pending {
					f()
				}
				pending = nil
			}
			for _, id := range ids {
				if other := c.replicas[id]; !other.cut {
					c.begin(other, rapid.IntRange(0, 3).Draw(rt, "late begin") == 0)
				}
			}
			for slot := range Slots {
				givers := c.givers(slot)
				gave = gave || len(givers) > 0
				if len(givers) > 1 {
					rt.Fatalf("at %s slot %d has the givers %v; owners %v", c.now, slot, givers, c.owners[slot])
				}
			}
		}
	})
}

// Guards against an owner that was cut off while its slot went to another one and back, and goes on as if nothing had been.
func TestSlotThatReturnsIsNewlyAssigned(t *testing.T) {
	of := func(id uint64) (owners [Slots]uint64) {
		for i := range owners {
			owners[i] = id
		}
		return owners
	}
	now, x := time.Second, NewTenure(1)
	first := Owners{}.Assign(5, Assignment{Owners: of(1)})
	x.Apply(now, first)
	x.Confirm(now)
	x.Begin(now)
	if _, ok := x.Since(now, 0); !ok {
		t.Fatal("the first owner does not begin")
	}
	now += time.Minute
	x.Apply(now, first.Assign(6, Assignment{Owners: of(2)}).Activate(2).Assign(7, Assignment{Owners: of(1)}))
	x.Confirm(now)
	if _, ok := x.Since(now, 0); ok || x.IsDueToBegin(now) {
		t.Error("the owner goes on, although another one may still give tokens")
	}
}

// Guards against a wait that is cut short for a lost owner that never began, while the owner before it still gives tokens.
func TestOwnerBeforeTheLastIsWaitedFor(t *testing.T) {
	o := Owners{}.Assign(1, Assignment{Owners: [Slots]uint64{1}}).Activate(1)
	o = o.Assign(2, Assignment{Owners: [Slots]uint64{2}, Waited: time.Second})
	if o[0].Waited != time.Second {
		t.Errorf("%+v after the loss of an owner that has begun; want the wait of the leader", o[0])
	}
	o = o.Assign(3, Assignment{Owners: [Slots]uint64{3}, Waited: TenureLength})
	if o[0].Waited != 0 || o[0].Active {
		t.Errorf("%+v after the loss of an owner that has not begun; want a full wait", o[0])
	}
}

// Guards against slots without an owner, and against workspaces that lose their owner although it lives.
func TestReassignMovesOnlySlotsOfLostReplicas(t *testing.T) {
	owners, changed := Owners{}.Reassign(nil, []uint64{1, 2, 3, 4})
	if !changed {
		t.Fatal("no slot was assigned")
	}
	o := Owners{}.Assign(7, Assignment{Owners: owners})
	for _, id := range []uint64{1, 2, 3, 4} {
		if n := slotsOf(o, id); n != Slots/4 {
			t.Errorf("replica %d has %d slots; want %d", id, n, Slots/4)
		}
	}
	if _, changed := o.Reassign([]uint64{1, 2, 3, 4, 5}, []uint64{5}); changed {
		t.Error("a replica that came back moved slots of others")
	}
	owners, _ = o.Reassign([]uint64{1, 2, 3, 5}, []uint64{1, 2, 3, 5})
	next := o.Assign(9, Assignment{Owners: owners})
	for i, s := range next {
		switch {
		case o[i].Owner == 4 && (s.Owner != 5 || s.Active || s.Index != 9):
			t.Errorf("slot %d of the lost replica: %+v; want it at the replica without slots, not active", i, s)
		case o[i].Owner != 4 && s != o[i]:
			t.Errorf("slot %d: %+v became %+v", i, o[i], s)
		}
	}
	if _, changed := next.Reassign(nil, nil); changed {
		t.Error("slots moved although no replica is known to live")
	}
}

func slotsOf(o Owners, replica uint64) (n int) {
	for _, s := range o {
		if s.Owner == replica {
			n++
		}
	}
	return n
}

// Guards against workspaces without tokens for longer than necessary: at the first start, after a restart of all replicas, after
// a planned stop, and after the loss of an owner.
func TestOwnerBeginsAsSoonAsItMay(t *testing.T) {
	c := &cluster{now: time.Second, replicas: map[uint64]*owner{}, heardAt: map[uint64]time.Duration{}}
	c.restart(1)
	c.restart(2)
	owners, _ := Owners{}.Reassign(nil, []uint64{1, 2})
	c.commit(entry{Assignment: Assignment{Owners: owners}})
	requireGivers := func(when string, wait time.Duration, want ...uint64) {
		t.Helper()
		for end := c.now + wait; ; c.now += 100 * time.Millisecond {
			for _, o := range c.replicas {
				if !o.cut {
					o.tenure.Confirm(c.now)
					c.begin(o, false)
				}
			}
			if c.now >= end {
				break
			}
		}
		for slot := range Slots {
			if givers := c.givers(slot); len(givers) != 1 || !slices.Contains(want, givers[0]) {
				t.Fatalf("%s: slot %d has the givers %v; want one of %v", when, slot, givers, want)
			}
		}
	}
	requireGivers("first start", 0, 1, 2)
	c.now += time.Minute
	c.restart(1)
	c.restart(2)
	requireGivers("restart of all", 0, 1, 2)
	released, _ := c.owners.Reassign([]uint64{2}, []uint64{2})
	c.replicas[1].tenure.Stop()
	c.commit(entry{basedOn: c.changed, Assignment: Assignment{Owners: released, Released: 1}})
	requireGivers("planned stop", 0, 2)
	c.restart(1)
	lost, _ := c.owners.Reassign([]uint64{1}, []uint64{1})
	c.replicas[2].cut = true
	c.commit(entry{basedOn: c.changed, Assignment: Assignment{Owners: lost}})
	c.now += TenureLength + time.Millisecond
	requireGivers("loss", 0, 1)
}
