package register

import (
	"testing"

	"onyxwell/base/fixed"
)

func TestMain(tests *testing.M) { fixed.Run(tests) }
