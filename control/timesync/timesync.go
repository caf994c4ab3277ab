// Package timesync keeps a time of day that the daemons agree on, though clocks of some
// machines are set by seconds at any moment. It is a monotonic clock and an offset.
//
// A controller takes the offset from the clocks of all controllers, its own among them,
// by round trips, and of these the median: as long as fewer than half of the clocks are
// wrong, the median lies between right ones. A clock that is set while its controller runs
// counts as it was for stepPersistence, so that also more than half of them may be set for
// some seconds. A router takes over the time of its zone's relay. What the machine's own
// clock does after that has no effect.
package timesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// SampleMessage asks a controller for its time of day. The name is sent; it never changes.
const SampleMessage = "time-sample"

// SampleRequest asks for the time.
type SampleRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the sent form; it must never change.
func (SampleRequest) SchemaName() string { return "TimeSampleRequest" }

// SampleResponse tells the machine's own time of day, in nanoseconds since the start of
// 1970.
type SampleResponse struct {
	UnixNanos int64 `avro:"UnixNanos"`
}

// SchemaName names the sent form; it must never change.
func (SampleResponse) SchemaName() string { return "TimeSampleResponse" }

const (
	// interval is the time between two rounds of samples.
	interval = time.Second
	// maxSampleAge is for how long the sample of a clock that answers no more counts.
	maxSampleAge = 10 * interval
	// maxPeers bounds how many clocks a round asks.
	maxPeers = 8
	// minRounds is after how many rounds the time is agreed on though fewer than three clocks
	// are known: there are no more controllers, or no others that tell their time.
	minRounds = 5
	// maxSlew is by how much a clock may move against the monotonic one between two rounds;
	// what moves further was set.
	maxSlew = 20 * time.Millisecond
	// stepPersistence is after how long a clock that was set is believed.
	stepPersistence = time.Minute
	// maxRoundTrip is the longest round trip whose sample counts.
	maxRoundTrip = interval / 2
)

// Options configure a Clock. Clock and Wall are required.
type Options struct {
	Clock clock.Clock
	// Wall is the machine's own time of day.
	Wall func() time.Time
	// Peers returns the controllers whose clocks are asked; nil asks none.
	Peers func() []ids.Address
	// Ask asks one of them.
	Ask func(ctx context.Context, peer ids.Address) (SampleResponse, error)
}

// Clock is the agreed time of day. It is safe for concurrent use.
type Clock struct {
	options Options

	mu     sync.Mutex
	offset time.Duration
	synced bool
	rounds int
	// trustedOffset is the offset of the machine's own clock, as it was before it was set at steppedAt;
	// 0 is that it was not.
	trustedOffset time.Duration
	steppedAt     clock.Instant
	// samples are the offsets of other controllers' clocks.
	samples map[ids.Address]sample
}

// sample is the time of day at the monotonic clock's zero, by some clock.
type sample struct {
	offset time.Duration
	at     clock.Instant
}

// New returns a Clock that follows the machine's own until it is synchronized.
func New(options Options) *Clock {
	c := &Clock{options: options, samples: map[ids.Address]sample{}}
	c.trustedOffset = c.wallOffset()
	c.offset = c.trustedOffset
	return c
}

func (c *Clock) wallOffset() time.Duration {
	return time.Duration(c.options.Wall().UnixNano()) - time.Duration(c.options.Clock.Now())
}

// Now returns the agreed time in nanoseconds since the start of 1970.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset + time.Duration(c.options.Clock.Now())
}

// Synced reports whether the time was taken from more than the machine's own clock.
func (c *Clock) Synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// ServeSample answers a sample with the machine's own time of day.
func (c *Clock) ServeSample(context.Context, SampleRequest) (SampleResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTrustedOffset()
	return SampleResponse{UnixNanos: int64(c.trustedOffset) + int64(c.options.Clock.Now())}, nil
}

// updateTrustedOffset takes over what the machine's own clock says, unless it was set of late. The
// caller holds c.mu.
func (c *Clock) updateTrustedOffset() {
	now, offset := c.options.Clock.Now(), c.wallOffset()
	switch {
	case (offset - c.trustedOffset).Abs() <= maxSlew:
		c.trustedOffset, c.steppedAt = offset, 0
	case c.steppedAt == 0:
		c.steppedAt = max(now, 1)
	case now.Since(c.steppedAt) > stepPersistence:
		c.trustedOffset, c.steppedAt = offset, 0
	}
}

// Run takes samples until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Sample(ctx)
		if !clock.Wait(ctx, c.options.Clock, interval) {
			return
		}
	}
}

// Sample asks the peers' clocks once and sets the offset to the median.
func (c *Clock) Sample(ctx context.Context) {
	ctx, cancel := c.options.Clock.WithTimeout(ctx, maxRoundTrip)
	defer cancel()
	var round sync.WaitGroup
	peers := c.options.Peers()
	for _, peer := range peers[:min(len(peers), maxPeers)] {
		round.Go(func() { c.samplePeer(ctx, peer) })
	}
	round.Wait()
	c.setMedian()
}

func (c *Clock) samplePeer(ctx context.Context, peer ids.Address) {
	started := c.options.Clock.Now()
	resp, err := c.options.Ask(ctx, peer)
	ended := c.options.Clock.Now()
	if err != nil || ended.Since(started) > maxRoundTrip {
		return
	}
	middle := started.Add(ended.Since(started) / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[peer] = sample{offset: time.Duration(resp.UnixNanos) - time.Duration(middle), at: ended}
}

// setMedian sets the offset to the median of the known clocks: of an even number, the
// lower one of the middle, so that it is always some clock's.
func (c *Clock) setMedian() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTrustedOffset()
	now := c.options.Clock.Now()
	c.rounds++
	offsets := []time.Duration{c.trustedOffset}
	for peer, known := range c.samples {
		if now.Since(known.at) > maxSampleAge {
			delete(c.samples, peer)
			continue
		}
		offsets = append(offsets, known.offset)
	}
	if len(offsets) <= 2 && c.synced {
		// Two clocks can't tell which of them is wrong.
		return
	}
	slices.Sort(offsets)
	c.offset, c.synced = offsets[(len(offsets)-1)/2], c.synced || len(offsets) > 2 || c.rounds >= minRounds
}

// Adopt takes over the time that a relay told in answer to a request sent at started: it
// was told in the middle of the round trip.
func (c *Clock) Adopt(unixNanos int64, started clock.Instant) {
	now := c.options.Clock.Now()
	if now.Since(started) > maxRoundTrip {
		return
	}
	middle := started.Add(now.Since(started) / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.synced = time.Duration(unixNanos)-time.Duration(middle), true
}
