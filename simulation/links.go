package simulation

import (
	"fmt"
	"strings"
	"time"

	"onyxwell/base/ids"
)

const (
	// retransmission is the delay of a message whose packet was lost, which happens
	// to one in packetLossOdds.
	retransmission = 200 * time.Millisecond
	packetLossOdds = 200
	// maxHealDelay is the longest drawn time until what a cut link held back
	// arrives.
	maxHealDelay = 20 * time.Millisecond
)

// link is one direction between two hosts.
type link struct {
	cut bool
	// queued deliveries go on when the link heals.
	queued []func()
}

// isCut reports whether the link is cut; one that was never used is not.
func (l *link) isCut() bool { return l != nil && l.cut }

func (c *Cluster) link(from string, to string) *link {
	key := [2]string{from, to}
	if c.links[key] == nil {
		c.links[key] = &link{}
	}
	return c.links[key]
}

func (c *Cluster) cutLink(from string, to string) { c.link(from, to).cut = true }

// healLink opens a link and delivers what it held back.
func (c *Cluster) healLink(from string, to string) {
	healed := c.link(from, to)
	queued := healed.queued
	healed.cut, healed.queued = false, nil
	for index, deliver := range queued {
		c.after(c.drawBetween(fmt.Sprint("heal ", from, to, index), 0, maxHealDelay), deliver)
	}
}

// latency draws how long a message takes: by the distance, with some jitter, and
// now and then a retransmission.
func (c *Cluster) latency(from string, to ids.Address) time.Duration {
	latency := c.baseLatency(from, c.resolve(to))
	latency += c.drawBetween("latency "+from+string(to), 0, latency/4+time.Millisecond)
	if c.drawOneIn("packet "+from+string(to), packetLossOdds) {
		latency += retransmission
	}
	return latency
}

// baseLatency is the shortest time from a host to a machine. Clients and the
// platform are near to all.
func (c *Cluster) baseLatency(from string, target *Machine) time.Duration {
	site := c.options.Site
	c.mu.Lock()
	source := c.machinesByName[from]
	c.mu.Unlock()
	if source == nil || target == nil || source.region == target.region {
		return site.IntraRegionLatency
	}
	return site.InterRegionLatency
}

// resolve returns the machine of an address; nil if none has it.
func (c *Cluster) resolve(address ids.Address) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machinesByIP[hostOf(address)]
}

func hostOf(address ids.Address) string {
	host, _, _ := strings.Cut(string(address), ":")
	return host
}
