package quota

import "onyxwell/base/clock"

// Bucket is a token bucket. Its zero value is empty and was last filled at the zero
// instant. It is not safe for concurrent use.
type Bucket struct {
	Tokens   float64
	FilledAt clock.Instant
}

// Fill adds the tokens that the limit yields between the last fill and now, up to the
// burst. Tokens that already exceed the burst are kept.
func (b *Bucket) Fill(limit Limit, now clock.Instant) {
	if !b.FilledAt.Before(now) {
		return
	}
	filled := b.Tokens + limit.RatePerSecond*now.Since(b.FilledAt).Seconds()
	b.Tokens = max(b.Tokens, min(filled, limit.Burst))
	b.FilledAt = now
}

// Take takes an amount if the bucket holds all of it.
func (b *Bucket) Take(amount float64) bool {
	if b.Tokens < amount {
		return false
	}
	b.Tokens -= amount
	return true
}

// TakeRandomized takes an amount if the bucket holds it. Otherwise it empties the bucket
// and grants the amount with a probability equal to the fraction of it that the bucket
// held. Over many buckets the granted amount equals the held one on average, in whole
// requests, even where no bucket ever holds enough for one.
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

// refillThreshold is the fraction of the limit that has to be missing before more credit
// is requested.
const refillThreshold = 0.25

// Rebalance compares the bucket with the amount that it may hold. It returns the missing
// amount, or a negative amount to return, which it takes out of the bucket. due reports
// whether a request should be sent: whenever there is credit to return, or if more than
// refillThreshold of the limit is missing.
func (b *Bucket) Rebalance(limit float64) (amount float64, due bool) {
	amount = limit - b.Tokens
	if amount < 0 {
		b.Tokens = limit
		return amount, true
	}
	return amount, amount > refillThreshold*limit
}

// Denial records that an amount was denied, and until when every amount of at least that
// size is taken to be denied. Its zero value denies nothing.
type Denial struct {
	amount float64
	until  clock.Instant
}

// Covers reports whether an amount is denied at the given time.
func (d *Denial) Covers(amount float64, now clock.Instant) bool {
	return now.Before(d.until) && amount >= d.amount
}

// Extend denies an amount until the given time. While a denial is in force, only an amount
// that is not larger replaces it.
func (d *Denial) Extend(amount float64, until clock.Instant, now clock.Instant) {
	if !now.Before(d.until) || amount <= d.amount {
		d.amount, d.until = amount, until
	}
}

// Clear removes the denial.
func (d *Denial) Clear() { *d = Denial{} }

// TakeUpTo takes an amount, or the given fraction of the bucket if that is less, and
// returns what it took.
func (b *Bucket) TakeUpTo(amount float64, fraction float64) float64 {
	taken := max(0, min(amount, fraction*b.Tokens))
	b.Tokens -= taken
	return taken
}
