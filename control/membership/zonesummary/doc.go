// Package zonesummary publishes what other zones need to know of a zone without
// knowing its members, and reads what they publish: the routers that clients may
// go to, the number of routers that there could be, and the zones that are lost.
//
// The first relay of a zone publishes for it. Two daemons that both believe to be
// the first write under versions that differ, so one of them wins everywhere;
// nothing here needs them to agree.
package zonesummary
