package program

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// haltVariable is set for a test binary that is to wait in its initialization.
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

// A process gets a SIGHUP before its main function runs.
func TestHangup_ignoredBeforeMain(t *testing.T) {
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(executable)
	command.Env = append(os.Environ(), haltVariable+"=1")
	stdin, stdinErr := command.StdinPipe()
	stdout, stdoutErr := command.StdoutPipe()
	if stdinErr != nil || stdoutErr != nil {
		t.Fatal(stdinErr, stdoutErr)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(stdout).ReadString('\n'); err != nil || line != "starting\n" {
		t.Fatalf("first line %q, error %v", line, err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintln(stdin)
	if err := command.Wait(); err != nil {
		t.Errorf("the process failed: %v", err)
	}
}
