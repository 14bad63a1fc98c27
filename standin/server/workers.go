package server

import (
	"context"
	"net/http"

	"cyclamendyke"
)

func (s *Server) workersFor(r *http.Request) (cyclamendyke.Workers, cyclamendyke.WorkerName) {
	workers := s.fleet.As(r.Header.Get(callerHeader))
	return workers, cyclamendyke.WorkerName(r.PathValue("worker"))
}

func (s *Server) addWorkerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /workers/{worker}/claim", handleJSON(func(ctx context.Context, r *http.Request, body cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
		workers, worker := s.workersFor(r)
		return workers.Claim(ctx, worker, body)
	}))
	mux.HandleFunc("POST /workers/{worker}/renew", handleJSON(func(ctx context.Context, r *http.Request, body cyclamendyke.Claim) (cyclamendyke.WorkerReport, error) {
		workers, worker := s.workersFor(r)
		return workers.Renew(ctx, worker, body)
	}))
	mux.HandleFunc("POST /workers/{worker}/start", handleJSON(func(ctx context.Context, r *http.Request, body cyclamendyke.TaskStart) (empty, error) {
		workers, worker := s.workersFor(r)
		return empty{}, workers.Start(ctx, worker, body)
	}))
	mux.HandleFunc("POST /workers/{worker}/stop", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Epoch cyclamendyke.Epoch    `json:"epoch"`
		Task  cyclamendyke.TaskID   `json:"task"`
		Mode  cyclamendyke.StopMode `json:"mode"`
	}) (empty, error) {
		workers, worker := s.workersFor(r)
		return empty{}, workers.Stop(ctx, worker, body.Epoch, body.Task, body.Mode)
	}))
	mux.HandleFunc("POST /workers/{worker}/release", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Epoch cyclamendyke.Epoch `json:"epoch"`
	}) (empty, error) {
		workers, worker := s.workersFor(r)
		return empty{}, workers.Release(ctx, worker, body.Epoch)
	}))
}
