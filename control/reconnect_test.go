package control

import (
	"testing"
	"time"
)

// Guards against attempts at one peer that never become rarer, and against rarer ones right after a restart of all replicas.
func TestReconnectsBackOffAfterPromptOnes(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: reconnectInterval, promptReconnects: reconnectInterval, promptReconnects + 1: 2 * reconnectInterval, 1000: maxReconnectInterval,
	} {
		low, high := reconnectDelay(failures, 0), reconnectDelay(failures, 0.999)
		if low >= want || high <= want || high > want+want/4 || low < want-want/4 {
			t.Errorf("after %d failures %s to %s; want a range around %s", failures, low, high, want)
		}
	}
}
