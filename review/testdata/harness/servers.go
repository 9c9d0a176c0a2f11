package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// server is one engine behind a link: the present process, and what the engine's processes have run.
type server struct {
	record  *record
	n       int
	listed  string // the address in its row, which is that of the link
	private string // where the process listens
	link    *link

	mu    sync.Mutex
	lives int
	id    string
	cmd   *exec.Cmd
	ended chan struct{}
}

// startServer starts the nth engine and its link.
func startServer(r *record, n int) (*server, error) {
	ip := fmt.Sprintf("127.1.%d.%d", 40+os.Getpid()%200, n+1)
	s := &server{record: r, n: n, listed: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	s.private = fmt.Sprintf("127.2.%d.%d:%d", 40+os.Getpid()%200, n+1, freePort(fmt.Sprintf("127.2.%d.%d", 40+os.Getpid()%200, n+1)))
	if err := s.start(); err != nil {
		return nil, err
	}
	var err error
	s.link, err = newLink(s.listed, s.private)
	return s, err
}

// start starts a process with a new id and returns once it listens.
func (s *server) start() error {
	s.lives++
	id := fmt.Sprintf("i-%08x", (s.n+1)<<16|s.lives)
	command := exec.Command(os.Args[0], engineMode, id, s.private)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		_ = command.Wait()
		return fmt.Errorf("engine %s does not start", id)
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.id, s.cmd, s.ended = id, command, ended
	s.mu.Unlock()
	s.record.add("engine %s listens", id)
	go func() {
		defer close(ended)
		for lines.Scan() {
			s.told(id, strings.Fields(lines.Text()))
		}
		_ = command.Wait()
	}()
	return nil
}

// told takes what an engine process has told.
func (s *server) told(id string, words []string) {
	switch words[0] {
	case "event":
		s.record.event(words[1])
	case "run", "end", "left", "body":
		s.record.add("engine %s: %s", id, strings.Join(words, " "))
		s.record.engine(id, words)
	}
}

// kill ends the process by SIGKILL.
func (s *server) kill() {
	s.mu.Lock()
	command, ended, id := s.cmd, s.ended, s.id
	s.mu.Unlock()
	_ = command.Process.Kill()
	<-ended
	s.record.add("engine %s killed", id)
}
