package bench

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

const (
	claimsPerRun      = 5000
	claimsForMemory   = 200_000
	memoryConcurrency = 256
	// Claim times are recorded in microseconds with three significant digits.
	maxClaimTime   = int64(10 * time.Second / time.Microsecond)
	claimPrecision = 3
)

var claimConcurrency = []int{1, 10, 100}

// claimClient sends claims as a gateway does, directly to the leader of the claim group.
type claimClient struct {
	client controlpb.ClaimsClient
	next   atomic.Uint64
}

func newClaimClient(b *testing.B, c *harness.Cluster) (*claimClient, localsetup.Instance) {
	b.Helper()
	leader := claimLeader(b, c)
	base := filepath.Join(c.Folder, "certificates")
	files := settings.TLS{
		Certificate: filepath.Join(base, c.Setup.Gateways[0].Name+".pem"),
		Key:         filepath.Join(base, c.Setup.Gateways[0].Name+".key"),
		Authority:   filepath.Join(base, "ca.pem"),
	}
	config, err := files.Load()
	if err != nil {
		b.Fatal(err)
	}
	connection, err := grpc.NewClient("passthrough:///"+leader.Peer, grpc.WithTransportCredentials(credentials.NewTLS(config)), grpc.WithNoProxy())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { connection.Close() })
	return &claimClient{client: controlpb.NewClaimsClient(connection)}, leader
}

func claimLeader(b *testing.B, c *harness.Cluster) localsetup.Instance {
	b.Helper()
	var leader localsetup.Instance
	harness.Eventually(b, timeout, "a leader of the claim group", func() bool {
		for _, i := range c.Setup.Controls {
			for _, g := range c.Operator(b).Status(i.Name).GetGroups() {
				if g.Region == harness.NearRegion && g.Leader == g.Id {
					leader = i
					return true
				}
			}
		}
		return false
	})
	return leader
}

func (c *claimClient) claim(gateway string) error {
	n := c.next.Add(1)
	sum := sha256.Sum256(binary.LittleEndian.AppendUint64(nil, n))
	answer, err := c.client.Claim(context.Background(), &controlpb.ClaimRequest{
		Region: harness.NearRegion, Key: sum[:16], Fingerprint: sum[16:],
		KeyTimeMs: uint64(time.Now().UnixMilli()), Holder: fmt.Sprintf("%s/1/%d", gateway, n),
	})
	if err != nil {
		return err
	}
	if answer.Result != controlpb.ClaimResult_CLAIM_GRANTED {
		return &notGrantedError{result: answer.Result}
	}
	return nil
}

type notGrantedError struct {
	result controlpb.ClaimResult
}

func (e *notGrantedError) Error() string { return "result for a new key: " + e.result.String() }

// sendClaims sends claims from several goroutines and returns a histogram of their times in microseconds.
func (c *claimClient) sendClaims(b *testing.B, gateway string, claims, concurrency int) *hdrhistogram.Histogram {
	b.Helper()
	times := hdrhistogram.New(1, maxClaimTime, claimPrecision)
	var mu sync.Mutex
	var left atomic.Int64
	left.Store(int64(claims))
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				started := time.Now()
				if err := c.claim(gateway); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(started).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return times
}

// BenchmarkClaim reports the time of a claim in a group of three replicas that sync each batch to disk.
func BenchmarkClaim(b *testing.B) {
	c, _ := newServingCluster(b, 1)
	client, _ := newClaimClient(b, c)
	for _, concurrency := range claimConcurrency {
		b.Run(fmt.Sprintf("concurrent=%d", concurrency), func(b *testing.B) {
			for b.Loop() {
				started := time.Now()
				times := client.sendClaims(b, c.Setup.Gateways[0].Name, claimsPerRun, concurrency)
				b.ReportMetric(float64(times.ValueAtQuantile(50)), "claim-p50-us")
				b.ReportMetric(float64(times.ValueAtQuantile(99)), "claim-p99-us")
				b.ReportMetric(claimsPerRun/time.Since(started).Seconds(), "claims/s")
			}
		})
	}
}

// BenchmarkClaimState reports the memory and disk space that the leader uses per claim.
func BenchmarkClaimState(b *testing.B) {
	c, _ := newServingCluster(b, 1)
	client, leader := newClaimClient(b, c)
	for b.Loop() {
		process := c.Process(leader.Name)
		memory, disk := process.Usage(b).ResidentBytes, folderBytes(b, leader.DataFolder)
		client.sendClaims(b, c.Setup.Gateways[0].Name, claimsForMemory, memoryConcurrency)
		b.ReportMetric(float64(process.Usage(b).ResidentBytes-memory)/claimsForMemory, "memory-B/claim")
		b.ReportMetric(float64(folderBytes(b, leader.DataFolder)-disk)/claimsForMemory, "disk-B/claim")
		b.ReportMetric(float64(process.Usage(b).ResidentBytes)/(1<<20), "leader-MiB")
	}
}

func folderBytes(b *testing.B, folder string) int64 {
	b.Helper()
	var total int64
	err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		total += info.Size()
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	return total
}
