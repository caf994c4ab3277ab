package admin

import (
	"testing"

	"onyxwell/base/proptest"
)

func TestMain(m *testing.M) { proptest.Run(m) }
