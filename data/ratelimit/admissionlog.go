package ratelimit

// logAdmissions logs what was admitted since the last call, by source, with what this
// router knows of its contact: with the lines of all routers and of the issuer, what
// runs beyond a quota can be told to have come from somewhere. Causes count from the start.
func (l *Limiter) logAdmissions() {
	if l.options.Log == nil {
		return
	}
	entry := l.options.Log.Debug()
	if entry == nil {
		return
	}
	entry = entry.Str("part", "quota")
	for source, name := range SourceNames {
		entry = entry.Int64(name, l.requestCounts[source].Load()-l.loggedCounts[source])
		l.loggedCounts[source] = l.requestCounts[source].Load()
	}
	for cause, name := range CauseNames {
		entry = entry.Int64(name, l.rejectionCounts[cause].Load())
	}
	l.mu.Lock()
	unspent := 0.0
	for _, c := range l.credits {
		unspent += c.Tokens
	}
	attached, routers := l.isAttached, l.routers()
	l.mu.Unlock()
	entry.Float64("unspent_credit", unspent).Bool("attached", attached).Int("routers", routers).Msg("admissions of tenants with a quota")
}
