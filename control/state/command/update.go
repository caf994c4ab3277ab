package command

import (
	"context"

	"onyxwell/control/state/register"
)

// Update updates a key at this controller, which takes it over where another owns it. It
// serves keys that only the holder of a lease writes. The controller must vote. An
// errkind.NoQuorum error leaves open whether the update was stored.
func (d *Dispatcher) Update(ctx context.Context, key string, update register.UpdateFunc) ([]byte, error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	ctx, release, err := d.options.Quorum.WithQuorum(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.options.Proposer.Update(ctx, key, update)
}
