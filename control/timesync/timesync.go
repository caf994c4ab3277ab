// Package timesync keeps a time of day that the daemons agree on even if the wall clocks of
// some machines are stepped by seconds at any moment. The agreed time is the monotonic clock
// plus an offset.
//
// A controller samples the clocks of other controllers by round trips and takes the median
// of these offsets and its own. As long as fewer than half of the clocks are wrong, the
// median lies between correct ones. If a wall clock is stepped while its controller runs,
// the step is ignored for stepPersistence, so even more than half of the clocks may be wrong
// for some seconds. A router adopts the time of its zone's relay. From then on, its own wall
// clock has no effect.
package timesync

import (
	"context"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// SampleMessage is the name of the message that asks a controller for its time of day. It
// is sent between daemons and must never change.
const SampleMessage = "time-sample"

// SampleRequest asks a controller for the time of day of its machine.
type SampleRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName returns the Avro record name, which is sent; it must never change.
func (SampleRequest) SchemaName() string { return "TimeSampleRequest" }

// SampleResponse has the time of day of the controller's machine, in nanoseconds since the
// Unix epoch.
type SampleResponse struct {
	UnixNanos int64 `avro:"UnixNanos"`
}

// SchemaName returns the Avro record name, which is sent; it must never change.
func (SampleResponse) SchemaName() string { return "TimeSampleResponse" }

const (
	// interval is the time between two rounds of samples.
	interval = time.Second
	// maxSampleAge is how long the last sample of a peer that no longer answers is used.
	maxSampleAge = 10 * interval
	// maxPeers is the maximum number of peers that a round asks.
	maxPeers = 8
	// minRounds is the number of rounds after which the time counts as synchronized although
	// fewer than three clocks are known: there are no further controllers, or none that
	// answers.
	minRounds = 5
	// maxSlew is how far the wall clock may drift from the monotonic clock between two
	// readings. A larger difference is a step.
	maxSlew = 20 * time.Millisecond
	// stepPersistence is how long a step of the wall clock must last before it is accepted.
	stepPersistence = time.Minute
	// maxRoundTrip is the longest round trip of a sample that is used.
	maxRoundTrip = interval / 2
)

// Options configure a Clock. Clock and Wall are required.
type Options struct {
	Clock clock.Clock
	// Wall returns the time of the machine's wall clock.
	Wall func() time.Time
	// Peers returns the controllers to sample, and may return none. Sample calls it, so only
	// a Clock that is not sampled can go without it.
	Peers func() []ids.Address
	// Ask requests a sample from a peer.
	Ask func(ctx context.Context, peer ids.Address) (SampleResponse, error)
}

// Clock keeps the agreed time of day. It is safe for concurrent use.
type Clock struct {
	options Options

	mu     sync.Mutex
	offset time.Duration
	synced bool
	rounds int
	// trustedOffset is the offset of the wall clock, without a step that has not yet lasted
	// for stepPersistence. steppedAt is when that step was detected, 0 if there is none.
	trustedOffset time.Duration
	steppedAt     clock.Instant
	// samples are the last offsets of the clocks of other controllers.
	samples map[ids.Address]sample
}

// sample is the offset of a peer's clock from this daemon's monotonic clock, and when it
// was received.
type sample struct {
	offset time.Duration
	at     clock.Instant
}

// New returns a Clock that starts with the time of the machine's wall clock. Sample and
// Adopt synchronize it.
func New(options Options) *Clock {
	c := &Clock{options: options, samples: map[ids.Address]sample{}}
	c.trustedOffset = c.wallOffset()
	c.offset = c.trustedOffset
	return c
}

// wallOffset returns the difference between the wall clock and the monotonic clock.
func (c *Clock) wallOffset() time.Duration {
	return time.Duration(c.options.Wall().UnixNano()) - time.Duration(c.options.Clock.Now())
}

// Now returns the agreed time in nanoseconds since the Unix epoch.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset + time.Duration(c.options.Clock.Now())
}

// Synced reports whether the time is synchronized: it was taken from at least three clocks,
// adopted from a relay, or, where fewer clocks are known, sampled for minRounds.
func (c *Clock) Synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// ServeSample handles a SampleRequest. It answers with the time of this machine's wall
// clock, without recent steps.
func (c *Clock) ServeSample(context.Context, SampleRequest) (SampleResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateTrustedOffset()
	return SampleResponse{UnixNanos: int64(c.trustedOffset) + int64(c.options.Clock.Now())}, nil
}

// updateTrustedOffset sets trustedOffset to the offset of the wall clock, unless that was
// stepped less than stepPersistence ago. The caller holds c.mu.
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

// Run calls Sample at each interval until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Sample(ctx)
		if !clock.Wait(ctx, c.options.Clock, interval) {
			return
		}
	}
}

// Sample asks the peers for their time once and sets the offset to the median.
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

// samplePeer stores a sample of a peer's clock. It assumes that the peer read its clock in
// the middle of the round trip.
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

// setMedian sets the offset to the median of the known clocks. Of an even number it takes
// the lower of the two middle ones, so that the result is always the offset of a clock. Once
// synchronized, it leaves the offset as it is while fewer than three clocks are known.
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
		// With two clocks there is no way to tell which one is wrong.
		return
	}
	slices.Sort(offsets)
	c.offset, c.synced = offsets[(len(offsets)-1)/2], c.synced || len(offsets) > 2 || c.rounds >= minRounds
}

// Adopt sets the time to that of a relay's answer to a request sent at started. It assumes
// that the relay read its clock in the middle of the round trip, and ignores an answer that
// took longer than maxRoundTrip.
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
