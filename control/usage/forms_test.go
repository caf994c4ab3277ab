package usage

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of every struct of this package that is stored
// or sent. The golden files contain the bytes that other builds store or send and must never
// be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[RouterReport](t, "router-report")
	transporttest.Golden[ReportResponse](t, "report-response")
	transporttest.Golden[CollectRequest](t, "collect-request")
	transporttest.Golden[CollectResponse](t, "collect-response")
	transporttest.Golden[SumsRequest](t, "sums-request")
	transporttest.Golden[ZoneCounts](t, "zone-counts")
	transporttest.Golden[CopyResponse](t, "copy-response")
	transporttest.Golden[CopiesRequest](t, "copies-request")
	transporttest.Golden[CopiesResponse](t, "copies-response")
	transporttest.Golden[Log](t, "log")
}
