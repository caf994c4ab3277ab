package scaler

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[Demand](t, "demand")
	formtest.Golden[Flow](t, "flow")
	formtest.Golden[Plan](t, "plan")
	formtest.Golden[RegionLengths](t, "region_lengths")
	formtest.Golden[Replicas](t, "replicas")
	formtest.Golden[ReportAsk](t, "report_ask")
	formtest.Golden[ReportMessage](t, "report_message")
	formtest.Golden[ReportTold](t, "report_told")
	formtest.Golden[Routing](t, "routing")
	formtest.Golden[RunnerPlan](t, "runner_plan")
	formtest.Golden[RunnerWeight](t, "runner_weight")
	formtest.Golden[Sample](t, "sample")
	formtest.Golden[TypeWeight](t, "type_weight")
	formtest.Golden[compactReport](t, "compact_report")
	formtest.Golden[compactSample](t, "compact_sample")
}
