package oracle

// Rest notes the digest of a body that a runner read whole after it had answered.
func (o *Oracle) Rest(id string, body uint64) {
	o.with(id, func(known *attempt) {
		if known.asked == nil || known.asked.Call.Body == body {
			return
		}
		known.order = append(known.order, "the runner read the body after its answer")
		known.broken = append(known.broken, Verdict{Rule: Unasked, Attempt: id, Why: "after its answer the runner got other bytes where the rest of the body was due"})
	})
}
