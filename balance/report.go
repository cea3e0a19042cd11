package balance

import "time"

// Constants of the weight of and the trust in reports.
const (
	// reportHalfAge is the age, in typical work times, at which a report has half its weight: by then about half of the
	// requests that it counted have ended.
	reportHalfAge = 3
	// minReportHalfAge applies while the typical work time is unknown or very short.
	minReportHalfAge = 2 * time.Millisecond
	// trustLoss and trustGain are the weights of one response that disagrees or agrees with the report.
	trustLoss = 0.15
	trustGain = 0.03
	// disagreementFactor is the ratio between the predicted and the measured work time above which a report loses trust.
	disagreementFactor = 2.5
)

// report is the load that a server reports, less the requests of this gateway.
type report struct {
	// others is the number of requests that other gateways have in flight at the server.
	others atomicFloat
	at     atomicTime
	// distrust lies between 0 (the report is trusted) and 1 (it is ignored).
	distrust atomicFloat
}

func (r *report) add(now time.Duration, reported, own int64) {
	r.others.store(float64(max(reported-own, 0)))
	r.at.raise(now)
}

// updateTrust compares the work time that the report predicts with the measured one; both are in ns and exclude the
// network. A report that claims little load while responses are slow loses trust, and so does one that claims much while
// they are fast.
func (r *report) updateTrust(predicted, measured float64) {
	if measured > predicted*disagreementFactor || measured*disagreementFactor < predicted {
		r.distrust.blend(1, trustLoss)
		return
	}
	r.distrust.blend(0, trustGain)
}

// weightedOthers returns the reported number of requests of other gateways, multiplied by the weight of the report, and
// that weight, between 0 and 1. The weight combines age and trust.
func (r *report) weightedOthers(now time.Duration, typicalWork float64, sw Switches) (others, weight float64) {
	if sw.NoReports || r.at.load() == 0 {
		return 0, 0
	}
	weight = r.weight(now, typicalWork) * r.trust(sw)
	return r.others.load() * weight, weight
}

// weight returns the weight of the report by its age; it falls from 1 towards 0.
func (r *report) weight(now time.Duration, typicalWork float64) float64 {
	half := max(reportHalfAge*typicalWork, float64(minReportHalfAge))
	return half / (half + float64(max(now-r.at.load(), 0)))
}

// trust returns the trust in the server's reports, from 1 if they agree with the measured work times down to 0.
func (r *report) trust(sw Switches) float64 {
	if sw.NoDistrust {
		return 1
	}
	return 1 - r.distrust.load()
}
