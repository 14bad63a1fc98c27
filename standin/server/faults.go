package server

import (
	"context"
	"net/http"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/vms"
	"cyclamendyke/standin/worker"
)

func (s *Server) addFaultRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /faults/store", handleJSON(func(_ context.Context, _ *http.Request, body kv.Faults) (empty, error) {
		s.store.SetFaults(body)
		return empty{}, nil
	}))
	mux.HandleFunc("POST /faults/vms", handleJSON(func(_ context.Context, _ *http.Request, body vms.Faults) (empty, error) {
		s.vmList.SetFaults(body)
		return empty{}, nil
	}))
	mux.HandleFunc("POST /faults/workers", handleJSON(func(_ context.Context, _ *http.Request, body worker.Faults) (empty, error) {
		for _, name := range s.fleet.Names() {
			s.fleet.SetFaults(name, body)
		}
		return empty{}, nil
	}))
	mux.HandleFunc("POST /faults/workers/{worker}", handleJSON(func(_ context.Context, r *http.Request, body worker.Faults) (empty, error) {
		if !s.fleet.SetFaults(cyclamendyke.WorkerName(r.PathValue("worker")), body) {
			return empty{}, notFound("faults.worker")
		}
		return empty{}, nil
	}))
}
