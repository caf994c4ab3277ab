// Standin2 runs the scripted cases of the second independent review: it starts the
// project's own programs as processes on loopback addresses, with stand-ins for the
// platform, the runners, the clients and the operator, and judges one rule.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// record is the file in which a case tells what was sent, answered and run.
type record struct{ file *os.File }

// line writes a line to the record, with the time since the first one.
func (r record) line(format string, values ...any) {
	text := fmt.Sprintf("%9.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(r.file, text)
}

var began = time.Now()

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(out record, trouble bool) (broken bool, err error){
	"take-back":  takeBack,
	"stream-ids": streamIDs,
	"give-up":    giveUpTime,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](record{file}, trouble)
	if err != nil {
		fmt.Fprintln(file, "could not run:", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}
