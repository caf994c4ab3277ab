package duty

import (
	"onyxwell/base/ids"
)

// Names of messages, keys and the lease. They are stored and sent; they never change.
const (
	// SessionMessage goes from a controller to the assigner.
	SessionMessage = "duty-session"
	// HandOverMessage asks the assigner to give a part to another controller.
	HandOverMessage = "duty-hand-over"
	// LeaseName is that of the assigner's lease.
	LeaseName = "duties"
	// AssignmentKey is the register's key of the Assignment.
	AssignmentKey = "duty-parts"
	// OverviewKey is the key of the gossiped Overview.
	OverviewKey = "duties"
)

// Part names a set of subjects that has one holder.
type Part string

// UsagePart is the part of all usage windows.
const UsagePart Part = "usage"

// sizePartPrefix begins the parts of sizes; the zone's name follows.
const sizePartPrefix = "size/"

// SizePart returns the part of all services' sizes in a zone.
func SizePart(zone ids.Zone) Part { return Part(sizePartPrefix + string(zone)) }

// Zone returns the zone of a part of sizes, "" for other parts.
func (p Part) Zone() ids.Zone {
	if len(p) > len(sizePartPrefix) && p[:len(sizePartPrefix)] == sizePartPrefix {
		return ids.Zone(p[len(sizePartPrefix):])
	}
	return ""
}

// Assignment is the register's value under AssignmentKey.
type Assignment struct {
	// Assigner is the controller that wrote it, Epoch that of its lease.
	Assigner ids.Address  `avro:"Assigner"`
	Epoch    int64        `avro:"Epoch"`
	Parts    []PartRecord `avro:"Parts"`
}

// SchemaName names the stored form; it must never change.
func (Assignment) SchemaName() string { return "DutyAssignment" }

// PartRecord is the holder of one part.
type PartRecord struct {
	Part Part `avro:"Part"`
	// Holder and Incarnation are the process that holds it; "" is nobody.
	Holder      ids.Address `avro:"Holder"`
	Incarnation int64       `avro:"Incarnation"`
	// Fence is the fencing token; it rises with each change of the holder.
	Fence int64 `avro:"Fence"`
}

// SchemaName names the stored form; it must never change.
func (PartRecord) SchemaName() string { return "DutyPart" }

// heldBy reports whether a process holds the part.
func (p PartRecord) heldBy(holder process) bool {
	return p.Holder == holder.address && p.Incarnation == holder.incarnation
}

// process is one life of a controller.
type process struct {
	address     ids.Address
	incarnation int64
}

// SessionRequest is a controller's heartbeat.
type SessionRequest struct {
	From        ids.Address `avro:"From"`
	Incarnation int64       `avro:"Incarnation"`
	Zone        ids.Zone    `avro:"Zone"`
	// Eligible controllers may be given parts: they vote, and do not leave.
	Eligible bool `avro:"Eligible"`
	// PlatformDown says that the platform has not answered for a while.
	PlatformDown bool `avro:"PlatformDown"`
	// Active are the parts, with their fences, under which calls may still be made.
	Active []Grant `avro:"Active"`
	// Rejected are grants that are not taken up: the part was given up, or its fence
	// refused by the platform.
	Rejected []Grant `avro:"Rejected"`
	// LastCalls are the last calls of parts held here, for the overview.
	LastCalls []LastCall `avro:"Acts"`
}

// SchemaName names the sent form; it must never change.
func (SessionRequest) SchemaName() string { return "DutySessionRequest" }

// Grant is a part that a controller holds, or has held.
type Grant struct {
	Part  Part  `avro:"Part"`
	Fence int64 `avro:"Fence"`
	// WaitMS is for how long no call may be made yet.
	WaitMS int64 `avro:"WaitMS"`
}

// SchemaName names the sent form; it must never change.
func (Grant) SchemaName() string { return "DutyGrant" }

// SessionResponse answers a heartbeat. Without Assigning the receiver does not hold the
// assigner's lease, and Assigner is who does, as far as it knows.
type SessionResponse struct {
	Assigning bool        `avro:"Assigning"`
	Assigner  ids.Address `avro:"Assigner"`
	Epoch     int64       `avro:"Epoch"`
	Grants    []Grant     `avro:"Grants"`
	// ProbePlatform asks for the next heartbeat to tell whether the platform answers:
	// the holder of some part says that it does not.
	ProbePlatform bool `avro:"ProbePlatform"`
}

// SchemaName names the sent form; it must never change.
func (SessionResponse) SchemaName() string { return "DutySessionResponse" }

// HandOverRequest asks for a part to be given to another controller than its holder.
type HandOverRequest struct {
	Part Part `avro:"Part"`
}

// SchemaName names the sent form; it must never change.
func (HandOverRequest) SchemaName() string { return "DutyHandOverRequest" }

// HandOverResponse answers a HandOverRequest.
type HandOverResponse struct {
	// Assigning is false where the receiver does not hold the assigner's lease; Known
	// where there is no such part.
	Assigning bool `avro:"Assigning"`
	Known     bool `avro:"Known"`
}

// SchemaName names the sent form; it must never change.
func (HandOverResponse) SchemaName() string { return "DutyHandOverResponse" }

// LastCall is the last call that a part's holder made.
type LastCall struct {
	Part Part `avro:"Part"`
	// UnixMS is when it was answered, Status the answer's; 0 is no answer.
	UnixMS int64 `avro:"UnixMS"`
	Status int64 `avro:"Status"`
}

// SchemaName names the sent form; it must never change.
func (LastCall) SchemaName() string { return "DutyAct" }

// Overview is the body of the gossiped item: who assigns, and who holds what.
type Overview struct {
	Assigner ids.Address    `avro:"Assigner"`
	Parts    []PartOverview `avro:"Parts"`
}

// SchemaName names the sent form; it must never change.
func (Overview) SchemaName() string { return "DutyOverview" }

// PartOverview is the state of one part as operators see it.
type PartOverview struct {
	Part   Part        `avro:"Part" json:"part"`
	Holder ids.Address `avro:"Holder" json:"holder"`
	Fence  int64       `avro:"Fence" json:"fence"`
	// SinceUnixMS is when the holder was assigned, Moves how often this assigner has
	// changed it.
	SinceUnixMS int64 `avro:"SinceUnixMS" json:"since_unix_ms"`
	Moves       int64 `avro:"Moves" json:"moves"`
	// LastCallUnixMS and ActStatus are the last call and its answer, as the assigner heard.
	LastCallUnixMS int64 `avro:"ActUnixMS" json:"last_act_unix_ms"`
	LastCallStatus int64 `avro:"ActStatus" json:"last_act_status"`
}

// SchemaName names the sent form; it must never change.
func (PartOverview) SchemaName() string { return "DutyPartOverview" }

// Holder returns who holds a part, and under which fence; "" where nobody is known to.
func (o Overview) Holder(part Part) (holder ids.Address, fence int64) {
	for _, overview := range o.Parts {
		if overview.Part == part {
			return overview.Holder, overview.Fence
		}
	}
	return "", 0
}
