package bench

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
)

// platformSubcommand is the first argument that makes this command serve the stand-in platform.
const platformSubcommand = "platform"

// listeningPrefix is what the platform prints before its address.
const listeningPrefix = "listening on "

// platformProcess is a stand-in platform in a process of its own.
type platformProcess struct {
	address string
	command *exec.Cmd
}

// startPlatform starts a stand-in platform on a free port with the given flags.
func startPlatform(args ...string) (*platformProcess, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, append([]string{platformSubcommand, "--listen", "127.0.0.1:0"}, args...)...)
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
	return nil, errors.New("stand-in platform exited before it was listening")
}

// drain discards further output, so that the process never blocks on a full pipe.
func drain(lines *bufio.Scanner) {
	for lines.Scan() {
		continue
	}
}

func (p *platformProcess) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
}
