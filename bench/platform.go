package bench

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
)

// platformCommand makes this command serve the stand-in.
const platformCommand = "platform"

const listeningPrefix = "listening on "

// platformProcess is a stand-in in a process of its own.
type platformProcess struct {
	address string
	command *exec.Cmd
}

// startPlatform starts a stand-in with the flags on a free port.
func startPlatform(args ...string) (*platformProcess, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, append([]string{platformCommand, "--listen", "127.0.0.1:0"}, args...)...)
	stderr, err := command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), listeningPrefix); ok {
			go drain(lines)
			return &platformProcess{address: address, command: command}, nil
		}
	}
	_ = command.Wait()
	return nil, errors.New("the platform did not start")
}

// drain reads on, so that the process is never held up by a full pipe.
func drain(lines *bufio.Scanner) {
	for lines.Scan() {
		continue
	}
}

func (p *platformProcess) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
}
