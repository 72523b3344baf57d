package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// With 16 workers of 8 slots each, all 128 callers of the largest step run at once.
const (
	benchWorkers = 16
	benchSlots   = 8
)

// BenchmarkEntry measures, in alternation, requests through one entry instance and direct calls to the same worker
// stand-ins. Callers, entry instance, workers and log share the process and its CPUs.
func BenchmarkEntry(b *testing.B) {
	f := startFixture(b, benchWorkers, benchSlots, benchWorkers*benchSlots, 30)
	lease := f.benchLease(b)
	entry := rawRequest("/v1/services/s/requests/", "Authorization: Bearer "+f.key+"\r\n")
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			runLoad(b, callers, func(n int) (string, string) {
				worker := n % benchWorkers
				return f.servers[worker].Address, rawRequest("/services/s/", "Request-Id: x\r\nLease-Id: "+lease[worker]+"\r\n")
			})
		})
		b.Run(fmt.Sprintf("entry/callers=%d", callers), func(b *testing.B) {
			runLoad(b, callers, func(int) (string, string) { return f.callers.socket.Addr().String(), entry })
		})
	}
}

// benchLease opens a lease at each worker that is valid for the whole benchmark.
func (f *fixture) benchLease(b *testing.B) []string {
	var ids []string
	for n, server := range f.servers {
		w := f.Instance.workers.Worker(fmt.Sprintf("bench-%d", n), server.Address, 8)
		opened, err := w.OpenLease(b.Context(), "bench")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := w.RenewLease(b.Context(), opened.ID, opened.Now+time.Hour); err != nil {
			b.Fatal(err)
		}
		ids = append(ids, opened.ID)
	}
	return ids
}

func rawRequest(path, headers string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n"
}

// runLoad sends b.N requests over one connection for each caller. The callers write and read raw bytes, to keep the
// share of the load generator in the figures small.
func runLoad(b *testing.B, callers int, target func(n int) (address, request string)) {
	histograms := make([]*hdrhistogram.Histogram, callers)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	ready, release := sync.WaitGroup{}, make(chan struct{})
	ready.Add(callers)
	for n := range callers {
		histograms[n] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		wg.Go(func() {
			address, request := target(n)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Error(err)
				ready.Done()
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			_, err = exchange(conn, reader, request) // opens the upstream connections and leases
			ready.Done()
			<-release
			for err == nil && remaining.Add(-1) >= 0 {
				var latency time.Duration
				latency, err = exchange(conn, reader, request)
				_ = histograms[n].RecordValue(latency.Microseconds())
			}
			if err != nil {
				b.Error(err)
			}
		})
	}
	ready.Wait()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	startTime := time.Now()
	close(release)
	wg.Wait()
	elapsed := time.Since(startTime)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/request")
}

// exchange sends a request, reads the whole response and returns the time taken.
func exchange(conn net.Conn, reader *bufio.Reader, request string) (time.Duration, error) {
	startTime := time.Now()
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return time.Since(startTime), err
}
