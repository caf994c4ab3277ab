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
	Packed bool   `avro:"Packed"`
	Body   []byte `avro:"Body"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportMessage) SchemaName() string { return "ReportMessage_23" }

// compactReport is the body of the message.
type compactReport struct {
	From     ids.Address        `avro:"From"`
	Region   ids.Region         `avro:"Region"`
	Services []ids.Service      `avro:"Services"`
	Samples  []compactSample    `avro:"Samples"`
	Demands  []Demand           `avro:"Demands"`
	Readings []headroom.Reading `avro:"Readings"`
	Lengths  []lengthstats.Sum  `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (compactReport) SchemaName() string { return "compactReport_23" }

// compactSample is a Sample: Service is its place among the services, times and
// what is running are in thousandths, as are the utilisations.
type compactSample struct {
	Runner   ids.RunnerID `avro:"Runner"`
	Service  int64        `avro:"Service"`
	Arrived  int64        `avro:"Arrived"`
	Finished int64        `avro:"Finished"`
	Running  int64        `avro:"Running"`
	Pending  int64        `avro:"Pending"`
	Failed   int64        `avro:"Failed"`
	SpentMS  int64        `avro:"SpentMS"`
	Memory   int64        `avro:"Memory"`
	Busy     int64        `avro:"Busy"`
	Units    int64        `avro:"Units"`
}

// SchemaName names the stored and sent form; it must never change.
func (compactSample) SchemaName() string { return "compactSample_23" }

// thousandths is the unit of what is below one in a message.
const thousandths = 1000

func whole(value float64) int64 { return int64(math.Round(value)) }

// Message gives a report as it travels.
func (r ReportAsk) Message() (ReportMessage, error) {
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
			Arrived: whole(sample.Arrived), Finished: whole(sample.Finished), Failed: whole(sample.Failed),
			Running: whole(thousandths * sample.Running), Pending: whole(thousandths * sample.Pending),
			SpentMS: whole(sample.SpentMS), Units: whole(sample.Units),
			Memory: whole(thousandths * sample.Memory), Busy: whole(thousandths * sample.Busy),
		})
	}
	body, err := transport.Marshal(compact)
	if err != nil {
		return ReportMessage{}, err
	}
	message := ReportMessage{}
	message.Body, message.Packed = compress.Pack(body)
	return message, nil
}

// Report reads the report out of the message.
func (r ReportMessage) Report() (ReportAsk, error) {
	body, err := compress.Unpack(r.Body, r.Packed)
	if err != nil {
		return ReportAsk{}, err
	}
	compact, err := transport.Unmarshal[compactReport](body)
	if err != nil {
		return ReportAsk{}, err
	}
	report := ReportAsk{
		From: compact.From, Region: compact.Region, Demands: compact.Demands, Readings: compact.Readings, Lengths: compact.Lengths,
	}
	for _, sample := range compact.Samples {
		read := Sample{
			Runner: sample.Runner, Arrived: float64(sample.Arrived), Finished: float64(sample.Finished), Failed: float64(sample.Failed),
			Running: float64(sample.Running) / thousandths, Pending: float64(sample.Pending) / thousandths,
			SpentMS: float64(sample.SpentMS), Units: float64(sample.Units),
			Memory: float64(sample.Memory) / thousandths, Busy: float64(sample.Busy) / thousandths,
		}
		if sample.Service >= 0 && sample.Service < int64(len(compact.Services)) {
			read.Service = compact.Services[sample.Service]
		}
		report.Samples = append(report.Samples, read)
	}
	return report, nil
}
