package usage

import (
	"onyxwell/base/ids"
)

// Names of messages and keys. They are stored and sent; they never change.
const (
	// ReportMessage goes from a router to its zone's relay, SumsMessage from a relay to the
	// holder of the part of usage; CollectMessage takes its place where the holder does not
	// know that, being of an older build.
	ReportMessage  = "usage-report"
	SumsMessage    = "usage-sums"
	CollectMessage = "usage-collect"
	// CopyMessage goes from a relay to a controller of another region, CopiesMessage from
	// the holder of the part of usage to all controllers.
	CopyMessage   = "usage-copy"
	CopiesMessage = "usage-copies"
	// LogKey is the register's key of the Log.
	LogKey = "usage"
)

// RouterReport has the counts of one life of a router.
type RouterReport struct {
	Router      ids.Address `avro:"Router"`
	Incarnation int64       `avro:"Life"`
	// Through is the last window whose counts will not change any more.
	Through int64          `avro:"Through"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName names the sent form; it must never change.
func (RouterReport) SchemaName() string { return "UsageRouterReport" }

// WindowCounts are the counts of one window, column by column.
type WindowCounts struct {
	Window  int64        `avro:"Window"`
	Tenants []ids.Tenant `avro:"Tenants"`
	Counts  []int64      `avro:"Counts"`
}

// SchemaName names the sent form; it must never change.
func (WindowCounts) SchemaName() string { return "UsageWindowCounts" }

// ReportResponse answers a router's report.
type ReportResponse struct {
	// UnixNanos is the relay's agreed time; 0 where it knows none.
	UnixNanos int64 `avro:"UnixNanos"`
	// Decided is the last window that needs no counts any more.
	Decided int64 `avro:"Decided"`
}

// SchemaName names the sent form; it must never change.
func (ReportResponse) SchemaName() string { return "UsageReportResponse" }

// CollectRequest has the reports of a zone's routers.
type CollectRequest struct {
	Zone ids.Zone `avro:"Zone"`
	// Through is the last window that every router of the zone that is up has closed.
	Through int64          `avro:"Through"`
	Routers []RouterReport `avro:"Routers"`
}

// SchemaName names the sent form; it must never change.
func (CollectRequest) SchemaName() string { return "UsageCollectRequest" }

// SumsRequest has the sums over a zone's routers that changed since the holder took the last
// one, or all.
type SumsRequest struct {
	Zone ids.Zone `avro:"Zone"`
	// Through is the last window that every router of the zone that is up has closed.
	Through int64          `avro:"Through"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName names the sent form; it must never change.
func (SumsRequest) SchemaName() string { return "UsageSumsRequest" }

// CollectResponse answers a relay. Holding is false where the receiver does not hold the
// part of usage.
type CollectResponse struct {
	Holding bool  `avro:"Holding"`
	Decided int64 `avro:"Decided"`
}

// SchemaName names the sent form; it must never change.
func (CollectResponse) SchemaName() string { return "UsageCollectResponse" }

// ZoneCounts has the sums over a zone's routers.
type ZoneCounts struct {
	Zone    ids.Zone       `avro:"Zone"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName names the sent form; it must never change.
func (ZoneCounts) SchemaName() string { return "UsageZoneCounts" }

// CopyResponse answers a relay; Kept is false where the receiver does not know the zone.
type CopyResponse struct {
	Kept bool `avro:"Kept"`
}

// SchemaName names the sent form; it must never change.
func (CopyResponse) SchemaName() string { return "UsageCopyResponse" }

// CopiesRequest asks for the copies that a controller keeps.
type CopiesRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the sent form; it must never change.
func (CopiesRequest) SchemaName() string { return "UsageCopiesRequest" }

// CopiesResponse has the copies that a controller keeps.
type CopiesResponse struct {
	Zones []ZoneCounts `avro:"Zones"`
}

// SchemaName names the sent form; it must never change.
func (CopiesResponse) SchemaName() string { return "UsageCopiesResponse" }

// Log is the register's value under LogKey.
type Log struct {
	// Decided is the last window that was decided; windows are decided in order.
	Decided int64 `avro:"Decided"`
	// Pending are the decided windows that the platform has not acknowledged, as far as
	// is stored, oldest first.
	Pending []Decision `avro:"Pending"`
}

// SchemaName names the stored form; it must never change.
func (Log) SchemaName() string { return "UsageLog" }

// Decision is the report of one window: the very bytes that are sent.
type Decision struct {
	Window int64  `avro:"Window"`
	Body   []byte `avro:"Body"`
}

// SchemaName names the stored form; it must never change.
func (Decision) SchemaName() string { return "UsageDecision" }
