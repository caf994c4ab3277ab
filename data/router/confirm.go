package router

import "onyxwell/base/ids"

// serial is the version that this router acts on.
func (r *Router) serial() ids.Serial {
	if seen := r.frame.Now(); seen.Spec != nil {
		return seen.Spec.Version
	}
	return 0
}
