package main

import (
	"container/heap"
	"time"
)

// clock runs actions in the order of their virtual times; actions with equal times run in the order of their creation.
type clock struct {
	now     time.Duration
	actions actions
	created uint64
}

type action struct {
	at     time.Duration
	number uint64
	do     func()
}

func (c *clock) at(t time.Duration, do func()) {
	c.created++
	heap.Push(&c.actions, action{max(t, c.now), c.created, do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// runUntil runs all actions that are due by end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.actions) > 0 && c.actions[0].at <= end {
		a := heap.Pop(&c.actions).(action)
		c.now = a.at
		a.do()
	}
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	v := (*a)[last]
	(*a)[last] = action{}
	*a = (*a)[:last]
	return v
}
