package balance

import "time"

// Constants of the trust in reports.
const (
	// reportHalfAge is the age, in typical work times, at which half of a report counts: by then about half of the requests
	// that it counted have ended.
	reportHalfAge = 3
	// minReportHalfAge applies while the typical work time is unknown or very short.
	minReportHalfAge = 2 * time.Millisecond
	// trustLoss and trustGain move the trust at each answer.
	trustLoss = 0.15
	trustGain = 0.03
	// disagreementFactor is the factor between what a report predicts and what is seen that counts against the report.
	disagreementFactor = 2.5
)

// report is the load that a server reports, less the part of this gateway.
type report struct {
	// others is the number of requests that other gateways have in flight there.
	others atomicFloat
	at     atomicTime
	// distrust lies between 0 (believed) and 1 (ignored).
	distrust atomicFloat
}

func (r *report) add(now time.Duration, reported, own int64) {
	r.others.store(float64(max(reported-own, 0)))
	r.at.raise(now)
}

// updateTrust compares the work time that the report predicts with the time seen; both are in ns and exclude the network.
// A report that claims little load while answers are slow loses trust, and so does one that claims much while they are
// fast.
func (r *report) updateTrust(predicted, seen float64) {
	if seen > predicted*disagreementFactor || seen*disagreementFactor < predicted {
		r.distrust.blend(1, trustLoss)
		return
	}
	r.distrust.blend(0, trustGain)
}

// weightedOthers is the number of requests of other gateways at the server that the report still vouches for, and the weight of
// the report between 0 and 1.
func (r *report) weightedOthers(now time.Duration, typical float64, sw Switches) (others, weight float64) {
	if sw.NoReports || r.at.load() == 0 {
		return 0, 0
	}
	weight = r.weight(now, typical) * r.trust(sw)
	return r.others.load() * weight, weight
}

// weight falls from 1 to 0 with the age of the report.
func (r *report) weight(now time.Duration, typical float64) float64 {
	half := max(reportHalfAge*typical, float64(minReportHalfAge))
	return half / (half + float64(max(now-r.at.load(), 0)))
}

// trust is 1 for a server whose reports agree with what is seen, and falls to 0.
func (r *report) trust(sw Switches) float64 {
	if sw.NoDistrust {
		return 1
	}
	return 1 - r.distrust.load()
}
