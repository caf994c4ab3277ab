package httpcall

import "onyxwell/base/response"

// empty is a question and an answer without parts.
type empty struct{}

func (*empty) Read(Incoming) error     { return nil }
func (empty) Reply() response.Response { return response.Empty(200) }
