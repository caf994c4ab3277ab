package command

import (
	"context"

	"onyxwell/control/state/register"
)

// Update updates a key at this controller, which takes over the key if another controller
// owns it. This controller must have a vote. Update is for keys that are not written by
// commands: those that only the holder of a lease writes, and those of rollouts, which
// OrderRollout writes too. After an error of kind errkind.NoQuorum the update may or may
// not take effect.
func (d *Dispatcher) Update(ctx context.Context, key string, update register.UpdateFunc) ([]byte, error) {
	ctx, release, err := d.withQuorum(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.options.Proposer.Update(ctx, key, update)
}
