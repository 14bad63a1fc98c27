package server

import (
	"net/http"

	"cyclamendyke"
	"cyclamendyke/standin/kv"
)

// addCountRoutes adds the routes by which tests read what the simulated store and workers have done.
func (s *Server) addCountRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, r *http.Request) {
		counts := s.store.TotalCounts()
		if caller := r.URL.Query().Get("caller"); caller != "" {
			counts = s.store.Counts(caller)
		}
		writeJSON(w, http.StatusOK, struct {
			Store       kv.Counts             `json:"store"`
			WorkerCalls uint64                `json:"worker-calls"`
			Duplicates  []cyclamendyke.TaskID `json:"doubled"`
		}{counts, s.fleet.Calls(), s.fleet.DuplicateTasks()})
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Runs int `json:"runs"`
		}{s.fleet.StartCount(r.URL.Query().Get("payload"))})
	})
	mux.HandleFunc("GET /running/{worker}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Running []cyclamendyke.RunningTask `json:"running"`
		}{s.fleet.Running(cyclamendyke.WorkerName(r.PathValue("worker")))})
	})
}
