package gateway

import (
	"testing"

	"heatherwall.example/settings"
)

// Guards against gateways that together save more retries than the budget holds. Where there are more gateways than
// retries, each may still save one.
func TestRetryBurstsStayWithinTheSlack(t *testing.T) {
	for _, gateways := range []int{0, 1, 15, 24, 117} {
		for _, slack := range []float64{58, 186, 198} {
			burst := retryBurst(settings.RetryBudget{Slack: slack}, gateways)
			if sum := float64(burst) * float64(gateways); burst < 1 || sum > slack && burst > 1 {
				t.Errorf("%d gateways save %d each of a slack of %g", gateways, burst, slack)
			}
		}
	}
}
