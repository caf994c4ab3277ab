package ratelimit

// logAdmissions logs the number of requests per source since the last call and of rejections
// per cause since the start, with the router's unspent credit and whether it is attached.
// Together, the log lines of all routers and of the issuer show from which credit the requests
// that exceed a quota were admitted.
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
