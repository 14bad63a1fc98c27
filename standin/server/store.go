package server

import (
	"context"
	"net/http"
	"time"

	"cyclamendyke"
)

type entriesResponse = struct {
	Entries  []cyclamendyke.Entry  `json:"entries"`
	Revision cyclamendyke.Revision `json:"revision"`
}

type leaseBody = struct {
	Lease cyclamendyke.LeaseID `json:"lease"`
}

type empty = struct{}

func (s *Server) storeFor(r *http.Request) cyclamendyke.Store {
	return s.store.As(r.Header.Get(callerHeader))
}

func (s *Server) addStoreRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /store/get", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Key string `json:"key"`
	}) (cyclamendyke.Entry, error) {
		return s.storeFor(r).Get(ctx, body.Key)
	}))
	mux.HandleFunc("POST /store/list", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Prefix string `json:"prefix"`
	}) (entriesResponse, error) {
		entries, revision, err := s.storeFor(r).List(ctx, body.Prefix)
		return entriesResponse{entries, revision}, err
	}))
	mux.HandleFunc("POST /store/watch", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Prefix string                `json:"prefix"`
		After  cyclamendyke.Revision `json:"after"`
		Hold   time.Duration         `json:"hold-ns"`
	}) (entriesResponse, error) {
		entries, revision, err := s.storeFor(r).Watch(ctx, body.Prefix, body.After, body.Hold)
		return entriesResponse{entries, revision}, err
	}))
	s.addStoreWriteRoutes(mux)
	s.addStoreLeaseRoutes(mux)
}

func (s *Server) addStoreWriteRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /store/compare-and-swap", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Key      string                `json:"key"`
		Value    []byte                `json:"value"`
		Expected cyclamendyke.Revision `json:"expected"`
		Lease    cyclamendyke.LeaseID  `json:"lease"`
	}) (entriesResponse, error) {
		revision, err := s.storeFor(r).CompareAndSwap(ctx, body.Key, body.Value, body.Expected, body.Lease)
		return entriesResponse{Revision: revision}, err
	}))
	mux.HandleFunc("POST /store/delete", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Key      string                `json:"key"`
		Expected cyclamendyke.Revision `json:"expected"`
	}) (empty, error) {
		return empty{}, s.storeFor(r).Delete(ctx, body.Key, body.Expected)
	}))
}

func (s *Server) addStoreLeaseRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /store/grant-lease", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		TTL time.Duration `json:"ttl-ns"`
	}) (leaseBody, error) {
		lease, err := s.storeFor(r).GrantLease(ctx, body.TTL)
		return leaseBody{lease}, err
	}))
	mux.HandleFunc("POST /store/keep-alive", handleJSON(func(ctx context.Context, r *http.Request, body leaseBody) (empty, error) {
		return empty{}, s.storeFor(r).KeepAlive(ctx, body.Lease)
	}))
	mux.HandleFunc("POST /store/revoke", handleJSON(func(ctx context.Context, r *http.Request, body leaseBody) (empty, error) {
		return empty{}, s.storeFor(r).Revoke(ctx, body.Lease)
	}))
}
