// Package zonesummary publishes summaries of a zone for daemons that do not track its
// members, and reads those of other zones: the client-facing addresses of its routers
// and the number of routers that there could be. To its own zone it also publishes
// which other zones are lost.
//
// The first relay of a zone publishes for it. If two daemons both consider themselves
// first, they write under different versions, so the same one wins everywhere; nothing
// in this package requires them to agree.
package zonesummary
