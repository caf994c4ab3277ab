package oracle

// RecordLateBody notes the digest of a body that a runner read whole after it had answered.
func (c *Checker) RecordLateBody(id string, body uint64) {
	c.withAttempt(id, func(known *attempt) {
		if known.request == nil || known.request.Fingerprint.Body == body {
			return
		}
		known.history = append(known.history, "the runner read the body after its answer")
		known.violations = append(known.violations, Violation{Rule: UnsolicitedRun, Attempt: id, Reason: "after its answer the runner got other bytes where the rest of the body was due"})
	})
}
