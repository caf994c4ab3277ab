package program

/*
#include <signal.h>

// Runs when the program is loaded, before the Go runtime starts: a SIGHUP while
// packages are initialized would end the process. It is ignored until
// NotifyHangup is called; no change is missed, since the boot file is read later.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// NotifyHangup returns a channel that receives SIGHUP, which is ignored until
// then. It must be called before the boot file is read for the first time, or a
// change in between could be missed.
func NotifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
