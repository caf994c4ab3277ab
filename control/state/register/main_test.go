package register

import (
	"testing"

	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }
