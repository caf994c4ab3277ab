package httpcall

import "onyxwell/base/response"

// empty is a request and a response without content.
type empty struct{}

func (*empty) Decode(Incoming) error      { return nil }
func (empty) Response() response.Response { return response.Empty(200) }
