package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["quota"] = playQuota }

// The quota of the tenant, and the bounds of the site.
const (
	quotaRate    = 2.0
	quotaBurst   = 10.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// quotaPace is the time between two requests of the tenant, and quotaTime how long it sends.
	quotaPace = 30 * time.Millisecond
	quotaTime = 8 * time.Second
)

// tenantConfig returns a configuration with or without the tenant that sends.
func tenantConfig(version int, with bool) string {
	tenants := `{"name":"t-other","api_keys":["key-other"],"priority":1,"rate_per_s":0,"burst":0,"` + fieldRegions + `":[]}`
	if with {
		tenants += fmt.Sprintf(`,{"name":"t-one","api_keys":["key-one"],"priority":1,"rate_per_s":%g,"burst":%g,"`+fieldRegions+`":[]}`, quotaRate, quotaBurst)
	}
	return fmt.Sprintf(`{"version":%d,"tenants":[%s],`, version, tenants) + configOne[len(`{"version":1,`):]
}

// sendAsTenant sends one request with the key of the tenant and returns the status.
func (c *cluster) sendAsTenant(gateway int, id string) int {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.ip(10+gateway), portFront), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-one\r\n"+headerAttempt+": %s\r\n"+headerDeadline+": 2000\r\nConnection: close\r\n\r\n", id)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// playQuota lets a tenant ask for more than its quota, while a configuration leaves the tenant out and the next one names it
// again, with the same limit.
func playQuota(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, machineMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.quota = true
	if err := c.startAll(2, tenantConfig(1, true)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var ran []time.Time
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "one", zone: zones[i], slots: 6}
		w.answer = func(o http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Tenant") == "t-one" {
				mu.Lock()
				ran = append(ran, time.Now())
				mu.Unlock()
				out.add("%s runs %s", w.id, r.Header.Get(headerAttempt))
			}
			time.Sleep(20 * time.Millisecond)
			o.Header().Set(headerSignature, "sig."+w.id)
		}
		if err := c.startWorker(w, 101+i); err != nil {
			return false, err
		}
	}
	for g, end := 1, time.Now().Add(30*time.Second); g <= 2; {
		if status := c.sendAsTenant(g, fmt.Sprintf("first-%d-%d", g, time.Now().UnixNano())); status == http.StatusOK {
			g++
		} else if time.Now().After(end) {
			return false, fmt.Errorf("front-%d serves no request of the tenant: %d", g, status)
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(20 * time.Second) // the tenant sends nothing
	mu.Lock()
	ran = nil
	mu.Unlock()
	out.add("the tenant begins to send")
	var sending sync.WaitGroup
	end := time.Now().Add(quotaTime)
	if trouble {
		sending.Go(func() {
			for version, at := 2, 1500*time.Millisecond; version <= 3; version, at = version+1, 400*time.Millisecond {
				time.Sleep(at)
				if err := c.order("config.put", "", tenantConfig(version, version == 3), 5*time.Second); err != nil {
					out.add("version %d is not acknowledged: %v", version, err)
				}
				out.add("version %d is acknowledged; it names the tenant: %t", version, version == 3)
			}
		})
	}
	pace := time.NewTicker(quotaPace)
	defer pace.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-pace.C
		sending.Go(func() {
			id := fmt.Sprintf("q-%d", i)
			out.add("%s gets %d", id, c.sendAsTenant(1+i%2, id))
		})
	}
	sending.Wait()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most := mostWithin(ran, quotaWindow)
	out.add("most runs in a window of %s: %d; allowed %.0f", quotaWindow, most, allowed)
	fmt.Printf("most %d allowed %.0f\n", most, allowed)
	return float64(most) > allowed, nil
}

// mostWithin returns the largest number of times within any span of a length.
func mostWithin(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
