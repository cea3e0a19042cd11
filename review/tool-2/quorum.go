package main

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["quorum"] = lostQuorum }

const (
	coreMachines = 11
	recoverTime  = 15 * time.Second
	contactTime  = 4 * time.Second
	// outage is the time from the loss of the disks until the machines come back.
	outage = 2 * time.Second
)

// lostQuorum takes seven of eleven control replicas away for a while, lets two of the others lose their disks, brings all
// back, and reads the configuration.
func lostQuorum(c *cluster, trouble bool) bool {
	c.startControl(coreMachines)
	all := make([]int, coreMachines)
	for i := range all {
		all[i] = i
	}
	c.putConfig(all, configText(1, quorumRoutes(), "catalogue"))
	eventually(configTimeout, "all replicas vote", func() bool { return c.voters(0) == coreMachines })
	time.Sleep(contactTime)
	c.note("the group has %d voters", c.voters(0))
	stop := func(list ...int) {
		if !trouble {
			return
		}
		for _, i := range list {
			c.replicas[i].signal(syscall.SIGSTOP)
			c.note("core-%d is frozen", i)
		}
	}
	awaitVoters := func(n int) {
		if !trouble {
			return
		}
		eventually(configTimeout, "the silent replicas are no voters any more", func() bool { return c.voters(2) == n && c.voters(3) == n })
		c.note("the group has %d voters", n)
	}
	stop(6, 7, 8, 9, 10)
	awaitVoters(6)
	stop(4, 5)
	awaitVoters(4)
	acknowledged := configText(2, quorumRoutes(), "catalogue")
	c.putConfig([]int{0, 1, 2, 3}, acknowledged)
	if trouble {
		for _, i := range []int{0, 1} {
			c.replicas[i].end()
			if err := os.RemoveAll(c.dataFolder(i)); err != nil {
				panic(err)
			}
			c.note("core-%d lost its disk", i)
		}
		time.Sleep(outage)
		for i := 4; i < coreMachines; i++ {
			c.replicas[i].signal(syscall.SIGCONT)
			c.note("core-%d is back", i)
		}
		for _, i := range []int{0, 1} {
			c.startReplica(i, false)
			c.note("core-%d is back with an empty disk", i)
		}
	}
	time.Sleep(recoverTime)
	return c.readsBack(acknowledged, contactTime+6*time.Second)
}

// readsBack reads the configuration at all replicas in turn. It reports whether some replica returned it and none returned
// another one.
func (c *cluster) readsBack(want string, limit time.Duration) bool {
	found := false
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range c.replicas {
			status, text := c.call(i, "call=config.get", "")
			switch {
			case status != http.StatusOK:
				c.note("operator: config.get at core-%d: %d %s", i, status, strings.TrimSpace(text))
			case text == want:
				c.note("operator: config.get at core-%d: 200 the acknowledged configuration", i)
				found = true
			default:
				c.note("operator: config.get at core-%d: 200 another configuration: %.80s", i, text)
				return false
			}
		}
		if found {
			return true
		}
	}
	return false
}

func quorumRoutes() []routeSpec {
	return []routeSpec{{Name: "r", Hostname: "a.example", PathPrefix: "/x/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: 2}}
}
