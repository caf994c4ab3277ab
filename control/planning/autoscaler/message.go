package autoscaler

import (
	"math"

	"onyxwell/base/compress"
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// ReportMessage carries a report between daemons: whole numbers in place of
// floating ones, the names of services once, and all of it packed where it is
// long. A sample takes a fifth of what it does as it is kept.
type ReportMessage struct {
	Compressed bool   `avro:"Packed"`
	Body       []byte `avro:"Body"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportMessage) SchemaName() string { return "ReportMessage_23" }

// compactReport is the body of the message.
type compactReport struct {
	From     ids.Address          `avro:"From"`
	Region   ids.Region           `avro:"Region"`
	Services []ids.Service        `avro:"Services"`
	Samples  []compactSample      `avro:"Samples"`
	Demands  []Demand             `avro:"Demands"`
	Readings []headroom.Reading   `avro:"Readings"`
	Lengths  []lengthstats.Totals `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (compactReport) SchemaName() string { return "compactReport_23" }

// compactSample is a Sample: Service is its place among the services, times and
// what is running are in thousandths, as are the utilisations.
type compactSample struct {
	Runner            ids.RunnerID `avro:"Runner"`
	Service           int64        `avro:"Service"`
	Arrived           int64        `avro:"Arrived"`
	Finished          int64        `avro:"Finished"`
	Running           int64        `avro:"Running"`
	Pending           int64        `avro:"Pending"`
	Failed            int64        `avro:"Failed"`
	ExecutionMS       int64        `avro:"SpentMS"`
	MemoryUtilization int64        `avro:"Memory"`
	Utilization       int64        `avro:"Busy"`
	Units             int64        `avro:"Units"`
}

// SchemaName names the stored and sent form; it must never change.
func (compactSample) SchemaName() string { return "compactSample_23" }

// milli is the unit of what is below one in a message.
const milli = 1000

func roundToInt(value float64) int64 { return int64(math.Round(value)) }

// Encode gives a report as it travels.
func (r ReportRequest) Encode() (ReportMessage, error) {
	compact := compactReport{
		From: r.From, Region: r.Region, Demands: r.Demands, Readings: r.Readings, Lengths: r.Lengths,
	}
	places := map[ids.Service]int64{}
	for _, sample := range r.Samples {
		place, known := places[sample.Service]
		if !known {
			place = int64(len(compact.Services))
			places[sample.Service] = place
			compact.Services = append(compact.Services, sample.Service)
		}
		compact.Samples = append(compact.Samples, compactSample{
			Runner: sample.Runner, Service: place,
			Arrived: roundToInt(sample.Arrived), Finished: roundToInt(sample.Finished), Failed: roundToInt(sample.Failed),
			Running: roundToInt(milli * sample.Running), Pending: roundToInt(milli * sample.Pending),
			ExecutionMS: roundToInt(sample.ExecutionMS), Units: roundToInt(sample.Units),
			MemoryUtilization: roundToInt(milli * sample.MemoryUtilization), Utilization: roundToInt(milli * sample.Utilization),
		})
	}
	body, err := transport.Marshal(compact)
	if err != nil {
		return ReportMessage{}, err
	}
	message := ReportMessage{}
	message.Body, message.Compressed = compress.Encode(body)
	return message, nil
}

// Decode reads the report out of the message.
func (r ReportMessage) Decode() (ReportRequest, error) {
	body, err := compress.Decode(r.Body, r.Compressed)
	if err != nil {
		return ReportRequest{}, err
	}
	compact, err := transport.Unmarshal[compactReport](body)
	if err != nil {
		return ReportRequest{}, err
	}
	report := ReportRequest{
		From: compact.From, Region: compact.Region, Demands: compact.Demands, Readings: compact.Readings, Lengths: compact.Lengths,
	}
	for _, sample := range compact.Samples {
		read := Sample{
			Runner: sample.Runner, Arrived: float64(sample.Arrived), Finished: float64(sample.Finished), Failed: float64(sample.Failed),
			Running: float64(sample.Running) / milli, Pending: float64(sample.Pending) / milli,
			ExecutionMS: float64(sample.ExecutionMS), Units: float64(sample.Units),
			MemoryUtilization: float64(sample.MemoryUtilization) / milli, Utilization: float64(sample.Utilization) / milli,
		}
		if sample.Service >= 0 && sample.Service < int64(len(compact.Services)) {
			read.Service = compact.Services[sample.Service]
		}
		report.Samples = append(report.Samples, read)
	}
	return report, nil
}
