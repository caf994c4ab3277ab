package usage

import (
	"context"
	"slices"
	"sync"

	"onyxwell/base/ids"
)

// Copies keeps the counts of zones whose region the holder of the part of usage is in, too:
// where that region is lost, nobody else has them. Every controller keeps what relays of
// other regions send it, and gives it to whoever holds the part next. It is safe for
// concurrent use.
type Copies struct {
	zones []ids.Zone

	mu     sync.Mutex
	byZone map[ids.Zone]counts
}

// NewCopies returns Copies for the zones of a deployment.
func NewCopies(zones []ids.Zone) *Copies {
	return &Copies{zones: zones, byZone: map[ids.Zone]counts{}}
}

// Take keeps the newest windows of a zone's counts.
func (c *Copies) Take(_ context.Context, zone ZoneCounts) (CopyResponse, error) {
	if !slices.Contains(c.zones, zone.Zone) {
		return CopyResponse{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.byZone[zone.Zone]
	if kept == nil {
		kept = counts{}
		c.byZone[zone.Zone] = kept
	}
	kept.merge(zone.Windows, 0)
	kept.keepNewest(maxWindows)
	return CopyResponse{Kept: true}, nil
}

// Give returns everything that is kept.
func (c *Copies) Give(context.Context, CopiesRequest) (CopiesResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var resp CopiesResponse
	for _, zone := range c.zones {
		if kept := c.byZone[zone]; len(kept) > 0 {
			resp.Zones = append(resp.Zones, ZoneCounts{Zone: zone, Windows: kept.message()})
		}
	}
	return resp, nil
}
