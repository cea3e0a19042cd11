package gateway

import (
	"time"

	"heatherwall.example/telemetry"
)

const (
	// crashProofDelay is the time after which a broken connection is taken for a crash of its server. By then it is known
	// whether connections to other servers broke as well, or whether servers are silent.
	crashProofDelay = 150 * time.Millisecond
	// maxBrokenTogether is the number of servers whose connections may break at about the same time by their own fault.
	maxBrokenTogether = 2
)

// recordCrash adds a crash mark to a request that was in flight on a connection that the server broke after it was sent the
// whole request. A connection that the gateway closed because of what the server sent did not break, and one to a relay shows
// nothing about a server. Where the path to all servers is watched, the mark waits until it is known that the path did not break.
func (p *requestPath) recordCrash(c *call, a *attempt) {
	if a.isRelay() || !a.gate.showsCrash() {
		return
	}
	fingerprint, regions, service := c.fingerprint, c.placement.Home.Names, c.rule.Service.Name
	path := p.serverPath()
	if path == nil {
		p.markCrash(fingerprint, regions, service)
		return
	}
	at := p.clock.now()
	path.connectionBroke(a.server.address, at)
	p.background.Go(func() {
		time.Sleep(crashProofDelay)
		if path.isDoubtful() || path.brokenAround(at) > maxBrokenTogether {
			p.counters.UnlabeledCounter("crash_marks_dropped").Inc(1)
			return
		}
		p.markCrash(fingerprint, regions, service)
		p.publishCrashMarks()
	})
}

func (p *requestPath) markCrash(f fingerprint, regions []string, service string) {
	if p.crashMarks.RecordCrash(p.clock.now(), f, regions) {
		p.log.Log(eventPoisonMarked, telemetry.F("service", service))
	}
}
