package program

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// haltVariable has this test binary stop in the middle of its start.
const haltVariable = "ONYXWELL_TEST_START"

// This runs before main, while packages are being initialized.
var _ = func() bool {
	if os.Getenv(haltVariable) != "" {
		fmt.Println("starting")
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		os.Exit(0)
	}
	return true
}()

// TestHangup_ignoredBeforeMain sends a SIGHUP to a program that has not come
// to its main function.
func TestHangup_ignoredBeforeMain(t *testing.T) {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(own)
	command.Env = append(os.Environ(), haltVariable+"=1")
	in, inErr := command.StdinPipe()
	out, outErr := command.StdoutPipe()
	if inErr != nil || outErr != nil {
		t.Fatal(inErr, outErr)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(out).ReadString('\n'); err != nil || line != "starting\n" {
		t.Fatalf("%q %v", line, err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintln(in)
	if err := command.Wait(); err != nil {
		t.Errorf("the program ended: %v", err)
	}
}
