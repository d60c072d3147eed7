package main_test

import (
	"bufio"
	"bytes"
	"io"
	"os/exec"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// process is one child of the test.
type process struct {
	cmd  *exec.Cmd
	line []byte
	logs *logBuffer
	// read is closed when the child's output has ended.
	read chan struct{}
}

// logBuffer keeps a child's log and standard error for the report of a failed test.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *logBuffer) Write(p []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(p)
}

func (lb *logBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// spawn starts a program and reads the line in which it tells its addresses.
func spawn(program string, args ...string) *process {
	GinkgoHelper()
	proc := &process{cmd: exec.Command(program, args...), logs: &logBuffer{}, read: make(chan struct{})}
	proc.cmd.Stderr = proc.logs
	out, err := proc.cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(proc.cmd.Start()).To(Succeed())
	reader := bufio.NewReader(out)
	proc.line, err = reader.ReadBytes('\n')
	if err != nil {
		proc.kill()
	}
	Expect(err).NotTo(HaveOccurred(), "%s %v said: %s", program, args, proc.logs)
	go func() {
		defer close(proc.read)
		_, _ = io.Copy(proc.logs, reader)
	}()
	return proc
}

func (proc *process) kill() {
	if proc.cmd.ProcessState == nil {
		_ = proc.cmd.Process.Kill()
		_ = proc.cmd.Wait()
	}
}

func (proc *process) signal(sig syscall.Signal) {
	GinkgoHelper()
	Expect(proc.cmd.Process.Signal(sig)).To(Succeed())
}

// exit waits for the process and returns its exit code.
func (proc *process) exit() int {
	<-proc.read
	_ = proc.cmd.Wait()
	return proc.cmd.ProcessState.ExitCode()
}
