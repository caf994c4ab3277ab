package call

import "onyxwell/base/reply"

// nothing is a question and an answer without parts.
type nothing struct{}

func (*nothing) Read(Incoming) error { return nil }
func (nothing) Reply() reply.Reply   { return reply.Empty(200) }
