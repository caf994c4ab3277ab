package duty

import (
	"onyxwell/base/ids"
)

// Names of messages, keys and the lease. They are stored and sent and must never change.
const (
	// SessionMessage is a controller's heartbeat to the assigner.
	SessionMessage = "duty-session"
	// HandOverMessage asks the assigner to move a part to another controller.
	HandOverMessage = "duty-hand-over"
	// LeaseName is the name of the lease that the assigner holds.
	LeaseName = "duties"
	// AssignmentKey is the register key of the Assignment.
	AssignmentKey = "duty-parts"
	// OverviewKey is the gossip key of the Overview.
	OverviewKey = "duties"
)

// Part names a unit of work that has a single holder.
type Part string

// UsagePart is the part that reports all usage windows.
const UsagePart Part = "usage"

// sizePartPrefix is the prefix of the size parts; the zone's name follows it.
const sizePartPrefix = "size/"

// SizePart returns the part that orders the runner counts of all services in a zone.
func SizePart(zone ids.Zone) Part { return Part(sizePartPrefix + string(zone)) }

// Zone returns the zone of a size part, or "" for other parts.
func (p Part) Zone() ids.Zone {
	if len(p) > len(sizePartPrefix) && p[:len(sizePartPrefix)] == sizePartPrefix {
		return ids.Zone(p[len(sizePartPrefix):])
	}
	return ""
}

// Assignment is the register value under AssignmentKey: the holders of all parts.
type Assignment struct {
	// Assigner is the controller that wrote the value, Epoch the epoch of its lease.
	Assigner ids.Address  `avro:"Assigner"`
	Epoch    int64        `avro:"Epoch"`
	Parts    []PartRecord `avro:"Parts"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (Assignment) SchemaName() string { return "DutyAssignment" }

// PartRecord is the stored holder of one part.
type PartRecord struct {
	Part Part `avro:"Part"`
	// Holder and Incarnation identify the process that holds the part. An empty Holder
	// means that nobody does.
	Holder      ids.Address `avro:"Holder"`
	Incarnation int64       `avro:"Incarnation"`
	// Fence is the fencing token, which increases with each change of the holder.
	Fence int64 `avro:"Fence"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (PartRecord) SchemaName() string { return "DutyPart" }

// heldBy reports whether a process holds the part.
func (p PartRecord) heldBy(holder process) bool {
	return p.Holder == holder.address && p.Incarnation == holder.incarnation
}

// process identifies one run of a controller: a restart gets another incarnation.
type process struct {
	address     ids.Address
	incarnation int64
}

// SessionRequest is a controller's heartbeat.
type SessionRequest struct {
	From        ids.Address `avro:"From"`
	Incarnation int64       `avro:"Incarnation"`
	Zone        ids.Zone    `avro:"Zone"`
	// Eligible reports whether the controller may be assigned parts: it votes and is not
	// leaving.
	Eligible bool `avro:"Eligible"`
	// PlatformDown reports that the platform has not answered for some time.
	PlatformDown bool `avro:"PlatformDown"`
	// Active lists the parts and fences under which calls may still be made or are running.
	Active []Grant `avro:"Active"`
	// Rejected lists the grants that the controller does not accept, because it released the
	// part or the platform refused the fence.
	Rejected []Grant `avro:"Rejected"`
	// LastCalls lists the last call for each part, for display to operators.
	LastCalls []LastCall `avro:"Acts"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (SessionRequest) SchemaName() string { return "DutySessionRequest" }

// Grant is a part and the fence under which a controller holds it, or has held it.
type Grant struct {
	Part  Part  `avro:"Part"`
	Fence int64 `avro:"Fence"`
	// WaitMS is how long the holder must wait before its first call.
	WaitMS int64 `avro:"WaitMS"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (Grant) SchemaName() string { return "DutyGrant" }

// SessionResponse answers a heartbeat. If Assigning is false, the receiver does not hold the
// assigner's lease, and Assigner is the controller that does, as far as the receiver knows.
type SessionResponse struct {
	Assigning bool        `avro:"Assigning"`
	Assigner  ids.Address `avro:"Assigner"`
	Epoch     int64       `avro:"Epoch"`
	Grants    []Grant     `avro:"Grants"`
	// ProbePlatform asks the controller to report in its next heartbeat whether the platform
	// answers, because some controller has reported that it does not.
	ProbePlatform bool `avro:"ProbePlatform"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (SessionResponse) SchemaName() string { return "DutySessionResponse" }

// HandOverRequest asks the assigner to move a part from its holder to another controller.
type HandOverRequest struct {
	Part Part `avro:"Part"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (HandOverRequest) SchemaName() string { return "DutyHandOverRequest" }

// HandOverResponse answers a HandOverRequest.
type HandOverResponse struct {
	// Assigning is false if the receiver does not hold the assigner's lease; Known is false
	// if there is no such part.
	Assigning bool `avro:"Assigning"`
	Known     bool `avro:"Known"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (HandOverResponse) SchemaName() string { return "DutyHandOverResponse" }

// LastCall is the last call to the platform that the holder of a part made.
type LastCall struct {
	Part Part `avro:"Part"`
	// UnixMS is when the call ended. Status is the HTTP status of the answer, or 0 if there
	// was none.
	UnixMS int64 `avro:"UnixMS"`
	Status int64 `avro:"Status"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (LastCall) SchemaName() string { return "DutyAct" }

// Overview is the gossiped summary of the assignment: the assigner and the holder of each
// part.
type Overview struct {
	Assigner ids.Address    `avro:"Assigner"`
	Parts    []PartOverview `avro:"Parts"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (Overview) SchemaName() string { return "DutyOverview" }

// PartOverview is the state of one part as shown to operators.
type PartOverview struct {
	Part   Part        `avro:"Part" json:"part"`
	Holder ids.Address `avro:"Holder" json:"holder"`
	Fence  int64       `avro:"Fence" json:"fence"`
	// SinceUnixMS is when the holder was assigned, Moves how many times this assigner has
	// changed the holder.
	SinceUnixMS int64 `avro:"SinceUnixMS" json:"since_unix_ms"`
	Moves       int64 `avro:"Moves" json:"moves"`
	// LastCallUnixMS and LastCallStatus describe the holder's last call, as reported to the
	// assigner. They are not gossiped: only the assigner's controller fills them in.
	LastCallUnixMS int64 `avro:"ActUnixMS" json:"last_act_unix_ms"`
	LastCallStatus int64 `avro:"ActStatus" json:"last_act_status"`
}

// SchemaName returns the name of the Avro schema on the wire, which must never change.
func (PartOverview) SchemaName() string { return "DutyPartOverview" }

// Holder returns the holder of a part and its fence, or "" if no holder is known.
func (o Overview) Holder(part Part) (holder ids.Address, fence int64) {
	for _, overview := range o.Parts {
		if overview.Part == part {
			return overview.Holder, overview.Fence
		}
	}
	return "", 0
}
