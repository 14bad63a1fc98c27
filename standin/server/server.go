package server

import (
	"context"
	"net"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/vms"
	"cyclamendyke/standin/worker"
)

// Config configures a server.
type Config struct {
	Listen   string       // IP and port; port 0 selects a free port.
	Listener net.Listener // Used instead of Listen if not nil.
	Topology standin.Topology
	ListLag  time.Duration // Delay before a change of a VM appears in the list.
	UsageLag time.Duration // Delay before a task's usage is first reported.
	Store    kv.Config
}

// Server serves one simulated platform over HTTP.
type Server struct {
	store    *kv.Service
	fleet    *worker.Fleet
	vmList   *vms.List
	listener net.Listener
	http     *kratoshttp.Server
}

// New listens on the configured address and creates the simulated platform; it fails only if it
// cannot listen.
func New(config Config) (*Server, error) {
	listener := config.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", config.Listen); err != nil {
			return nil, err
		}
	}
	initialVMs := config.Topology.VMs(listener.Addr().String())
	server := &Server{
		store:    kv.New(config.Store),
		fleet:    worker.New(worker.Config{VMs: initialVMs, UsageLag: config.UsageLag}),
		vmList:   vms.New(vms.Config{VMs: initialVMs, Lag: config.ListLag}),
		listener: listener,
	}
	server.http = kratoshttp.NewServer(
		kratoshttp.Listener(listener),
		kratoshttp.Timeout(0), // Watches and renewals are long polls.
	)
	server.http.HandlePrefix("/", server.routes())
	return server, nil
}

// Address returns the IP and port on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves requests until Stop is called.
func (s *Server) Start(ctx context.Context) error {
	return s.http.Start(ctx)
}

// Stop ends waiting calls and shuts the server down.
func (s *Server) Stop(ctx context.Context) error {
	s.store.Close()
	s.fleet.Close()
	return s.http.Stop(ctx)
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.addStoreRoutes(mux)
	s.addWorkerRoutes(mux)
	s.addVMRoutes(mux)
	s.addFaultRoutes(mux)
	s.addCountRoutes(mux)
	return mux
}
