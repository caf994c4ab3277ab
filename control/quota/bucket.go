package quota

import "onyxwell/base/clock"

// Bucket is a token bucket. Its zero value is empty, and was filled last at the
// instant zero. It is not safe for concurrent use.
type Bucket struct {
	Tokens   float64
	FilledAt clock.Instant
}

// Fill adds what the limit makes from the last filling until now, up to the burst;
// tokens beyond the burst stay.
func (b *Bucket) Fill(limit Limit, now clock.Instant) {
	if !b.FilledAt.Before(now) {
		return
	}
	filled := b.Tokens + limit.RatePerSecond*now.Since(b.FilledAt).Seconds()
	b.Tokens = max(b.Tokens, min(filled, limit.Burst))
	b.FilledAt = now
}

// Take takes an amount if the bucket has all of it.
func (b *Bucket) Take(amount float64) bool {
	if b.Tokens < amount {
		return false
	}
	b.Tokens -= amount
	return true
}

// TakeRandomized takes an amount if the bucket has it. Otherwise it empties the bucket
// and draws whether the amount is granted all the same, with the probability that
// the rest was of the amount: over many buckets as much is granted as they held, in
// whole requests, also where no bucket ever holds a whole one.
func (b *Bucket) TakeRandomized(amount float64, random func() float64) bool {
	if b.Take(amount) {
		return true
	}
	if b.Tokens <= 0 {
		return false
	}
	granted := random()*amount < b.Tokens
	b.Tokens = 0
	return granted
}

// refillThreshold is the part of a stock that has to be missing before more is asked
// for.
const refillThreshold = 0.25

// Rebalance compares the bucket with the stock that it may hold. It returns what is
// missing, below 0 for what it has to give back, which it takes out; due says that
// there is enough of either to ask.
func (b *Bucket) Rebalance(limit float64) (amount float64, due bool) {
	amount = limit - b.Tokens
	if amount < 0 {
		b.Tokens = limit
		return amount, true
	}
	return amount, amount > refillThreshold*limit
}

// Denial is that an amount could not be had, and until when that is taken to hold for
// every amount of at least that. Its zero value denies nothing.
type Denial struct {
	amount float64
	until  clock.Instant
}

// Covers reports whether an amount is denied.
func (d *Denial) Covers(amount float64, now clock.Instant) bool {
	return now.Before(d.until) && amount >= d.amount
}

// Extend denies an amount until an instant: smaller ones than before, too, where it
// is smaller.
func (d *Denial) Extend(amount float64, until clock.Instant, now clock.Instant) {
	if !now.Before(d.until) || amount <= d.amount {
		d.amount, d.until = amount, until
	}
}

// Clear ends the denial.
func (d *Denial) Clear() { *d = Denial{} }

// TakeUpTo takes as much of an amount as a part of the bucket allows.
func (b *Bucket) TakeUpTo(amount float64, fraction float64) float64 {
	taken := max(0, min(amount, fraction*b.Tokens))
	b.Tokens -= taken
	return taken
}
