package program

/*
#include <signal.h>

// Runs when the program is loaded, before Go's own start: a SIGHUP that comes
// while packages are initialized would else end the process. Until NotifyHangup is
// called it is ignored; nothing is missed by that, since the settings are read
// later.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// NotifyHangup has SIGHUPs be told from now on; they are ignored before. It is called
// before the settings file is read for the first time.
func NotifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
