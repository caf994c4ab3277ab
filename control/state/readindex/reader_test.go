package readindex

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// TestReader_requestsShareReadBegunAfterThem sends hundreds of concurrent requests: few
// reads must answer them, each of which begins after the requests that it answers.
func TestReader_requestsShareReadBegunAfterThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := scope.New(scope.Options{})
		var newestVersion, reads atomic.Int64
		reader := NewReader(func(context.Context) (ids.Version, error) {
			reads.Add(1)
			version := newestVersion.Load()
			ctx.Wait(100 * time.Millisecond)
			return ids.Version(version), nil
		})
		results := make(chan bool)
		for index := range 300 {
			go func() {
				ctx.Wait(time.Duration(index) * time.Millisecond)
				atLeast := newestVersion.Add(1)
				version, err := reader.ReadIndex(ctx)
				results <- err == nil && int64(version) >= atLeast
			}()
		}
		for range 300 {
			if !<-results {
				t.Error("failed, or answered by a read that began before the request")
			}
		}
		if reads.Load() > 6 {
			t.Errorf("%d reads for 300 requests within 300 ms, want at most 6", reads.Load())
		}
	})
}
