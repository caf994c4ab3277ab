package usage

import (
	"onyxwell/base/ids"
)

// Names of messages and keys. They are stored and sent and must never change.
const (
	// ReportMessage is sent by a router to its zone's relay, SumsMessage by a relay to the
	// holder of the usage part. A relay sends CollectMessage instead if the holder runs an
	// older build that does not support SumsMessage.
	ReportMessage  = "usage-report"
	SumsMessage    = "usage-sums"
	CollectMessage = "usage-collect"
	// CopyMessage is sent by a relay to a controller of another region, CopiesMessage by the
	// holder of the usage part to all controllers.
	CopyMessage   = "usage-copy"
	CopiesMessage = "usage-copies"
	// LogKey is the register key of the Log.
	LogKey = "usage"
)

// RouterReport contains the counts of one router incarnation.
type RouterReport struct {
	Router      ids.Address `avro:"Router"`
	Incarnation int64       `avro:"Life"`
	// Through is the last window whose counts are final.
	Through int64          `avro:"Through"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (RouterReport) SchemaName() string { return "UsageRouterReport" }

// WindowCounts contains the counts of one window in columns: Counts[i] belongs to Tenants[i].
type WindowCounts struct {
	Window  int64        `avro:"Window"`
	Tenants []ids.Tenant `avro:"Tenants"`
	Counts  []int64      `avro:"Counts"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (WindowCounts) SchemaName() string { return "UsageWindowCounts" }

// ReportResponse answers a router's report.
type ReportResponse struct {
	// UnixNanos is the relay's synchronized time, or 0 if it has none.
	UnixNanos int64 `avro:"UnixNanos"`
	// Decided is the last decided window, for which no more counts are needed.
	Decided int64 `avro:"Decided"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (ReportResponse) SchemaName() string { return "UsageReportResponse" }

// CollectRequest contains the reports of a zone's routers.
type CollectRequest struct {
	Zone ids.Zone `avro:"Zone"`
	// Through is the last window that every running router of the zone has closed.
	Through int64          `avro:"Through"`
	Routers []RouterReport `avro:"Routers"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (CollectRequest) SchemaName() string { return "UsageCollectRequest" }

// SumsRequest contains the sums over a zone's routers: those that have changed since the last
// request that the holder accepted, or all of them.
type SumsRequest struct {
	Zone ids.Zone `avro:"Zone"`
	// Through is the last window that every running router of the zone has closed.
	Through int64          `avro:"Through"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (SumsRequest) SchemaName() string { return "UsageSumsRequest" }

// CollectResponse answers a SumsRequest or a CollectRequest. Holding is false if the receiver
// does not hold the usage part or does not know the zone. Decided is the last decided window,
// or 0 if the receiver has not loaded the log yet.
type CollectResponse struct {
	Holding bool  `avro:"Holding"`
	Decided int64 `avro:"Decided"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (CollectResponse) SchemaName() string { return "UsageCollectResponse" }

// ZoneCounts contains the sums over a zone's routers.
type ZoneCounts struct {
	Zone    ids.Zone       `avro:"Zone"`
	Windows []WindowCounts `avro:"Windows"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (ZoneCounts) SchemaName() string { return "UsageZoneCounts" }

// CopyResponse answers a copy of a zone's counts. Kept is false if the receiver does not know
// the zone.
type CopyResponse struct {
	Kept bool `avro:"Kept"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (CopyResponse) SchemaName() string { return "UsageCopyResponse" }

// CopiesRequest asks a controller for the counts that it knows.
type CopiesRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (CopiesRequest) SchemaName() string { return "UsageCopiesRequest" }

// CopiesResponse contains the counts that a controller knows, by zone.
type CopiesResponse struct {
	Zones []ZoneCounts `avro:"Zones"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (CopiesResponse) SchemaName() string { return "UsageCopiesResponse" }

// Log is the register value under LogKey.
type Log struct {
	// Decided is the last decided window. Windows are decided in order.
	Decided int64 `avro:"Decided"`
	// Pending lists the decided windows whose acknowledgment by the platform is not recorded
	// here yet, oldest first.
	Pending []Decision `avro:"Pending"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (Log) SchemaName() string { return "UsageLog" }

// Decision is the report of one window. Body is sent to the platform as it is.
type Decision struct {
	Window int64  `avro:"Window"`
	Body   []byte `avro:"Body"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (Decision) SchemaName() string { return "UsageDecision" }
