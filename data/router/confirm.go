package router

import "onyxwell/base/ids"

// configVersion is the version that this router acts on.
func (r *Router) configVersion() ids.Serial {
	if seen := r.snapshots.Current(); seen.Config != nil {
		return seen.Config.Version
	}
	return 0
}
