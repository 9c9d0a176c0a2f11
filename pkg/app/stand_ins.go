package app

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/declaration"
	"quaydock/pkg/settings"
	"quaydock/pkg/standin"
	"quaydock/pkg/table"
)

// standInHeaderTimeout limits reading a request's headers at a stand-in.
const standInHeaderTimeout = 10 * clock.Second

// standIns are simulated outside systems that run inside this process for trials.
type standIns struct {
	common.Common
	servers []*http.Server
}

// startStandIns starts the stand-ins that the settings name. After an error, those already started are not stopped.
func startStandIns(c common.Common, s settings.StandIns) (*standIns, error) {
	started := &standIns{Common: c}
	if s.Platform != nil {
		if err := started.platform(*s.Platform); err != nil {
			return nil, fmt.Errorf("starting the platform stand-in: %w", err)
		}
	}
	for _, e := range s.Engines {
		if err := started.serve(e.Listen, standin.NewEngine(e).Handler()); err != nil {
			return nil, fmt.Errorf("starting an engine stand-in: %w", err)
		}
	}
	for _, p := range s.Services {
		if err := started.serve(p.Listen, standin.NewService()); err != nil {
			return nil, fmt.Errorf("starting a service stand-in: %w", err)
		}
	}
	return started, nil
}

// platform starts the platform's table whose first revision holds the declarations of a file.
func (s *standIns) platform(p settings.PlatformStandIn) error {
	document, err := os.ReadFile(p.Declarations)
	if err != nil {
		return fmt.Errorf("reading declarations: %w", err)
	}
	set, err := declaration.Parse(document)
	if err != nil {
		return fmt.Errorf("parsing declarations %s: %w", p.Declarations, err)
	}
	transaction, err := table.FirstRevision(set)
	if err != nil {
		return fmt.Errorf("building the first revision: %w", err)
	}
	stored := standin.NewTable()
	stored.Commit(transaction)
	return s.serve(p.Listen, stored.Handler())
}

// serve listens at an address and serves it in the background until close.
func (s *standIns) serve(address string, handler http.Handler) error {
	listener, err := s.Network.Listen(address)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout.Duration()}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.Log.WithError(err).Error("stand-in failed")
		}
	}()
	return nil
}

// close stops all stand-ins at once.
func (s *standIns) close() {
	for _, server := range s.servers {
		// The only error is that the server was closed before.
		_ = server.Close()
	}
}
