package autoscaler

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of the structs of this package that are
// stored or sent against golden files. The golden files hold the bytes that other
// builds store or send, and must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Demand](t, "demand")
	transporttest.Golden[Flow](t, "flow")
	transporttest.Golden[Plan](t, "plan")
	transporttest.Golden[RegionLengths](t, "region_lengths")
	transporttest.Golden[Replicas](t, "replicas")
	transporttest.Golden[ReportRequest](t, "report_ask")
	transporttest.Golden[ReportMessage](t, "report_message")
	transporttest.Golden[ReportResponse](t, "report_told")
	transporttest.Golden[Routing](t, "routing")
	transporttest.Golden[RunnerPlan](t, "runner_plan")
	transporttest.Golden[RunnerWeight](t, "runner_weight")
	transporttest.Golden[Sample](t, "sample")
	transporttest.Golden[TypeWeight](t, "type_weight")
	transporttest.Golden[compactReport](t, "compact_report")
	transporttest.Golden[compactSample](t, "compact_sample")
}
