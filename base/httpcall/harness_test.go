package httpcall

import "onyxwell/base/response"

// nothing is a question and an answer without parts.
type nothing struct{}

func (*nothing) Read(Incoming) error  { return nil }
func (nothing) Reply() response.Reply { return response.Empty(200) }
