package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cyclamendyke"
)

// stateRemoved is the state by which a request removes the VM; a listed VM never has it.
const stateRemoved = "removed"

func (s *Server) addVMRoutes(mux *http.ServeMux) {
	type vmsResponse = struct {
		Version string            `json:"version"`
		VMs     []cyclamendyke.VM `json:"vms,omitempty"` // Omitted if the caller already has this version.
	}
	mux.HandleFunc("POST /vms/list", handleJSON(func(ctx context.Context, r *http.Request, body struct {
		Zone    cyclamendyke.ZoneName `json:"zone"`
		Version string                `json:"version"`
	}) (vmsResponse, error) {
		vms, err := s.vmList.As(r.Header.Get(callerHeader)).ListVMs(ctx, body.Zone)
		response := vmsResponse{Version: contentVersion(vms), VMs: vms}
		if response.Version == body.Version {
			response.VMs = nil
		}
		return response, err
	}))
	mux.HandleFunc("POST /vms/{worker}/state", handleJSON(func(_ context.Context, r *http.Request, body struct {
		State cyclamendyke.VMState `json:"state"`
	}) (empty, error) {
		return empty{}, s.setState(cyclamendyke.WorkerName(r.PathValue("worker")), body.State)
	}))
}

// contentVersion returns a hash of the VMs, by which callers detect changes.
func contentVersion(vms []cyclamendyke.VM) string {
	digest := xxhash.New()
	_ = json.NewEncoder(digest).Encode(vms) // Writing to a hash never fails.
	return strconv.FormatUint(digest.Sum64(), 36)
}

func (s *Server) setState(worker cyclamendyke.WorkerName, state cyclamendyke.VMState) error {
	switch state {
	case stateRemoved:
		s.fleet.Remove(worker)
		s.vmList.Remove(worker)
		return nil
	case cyclamendyke.VMLive, cyclamendyke.VMLeaving:
		if s.vmList.SetState(worker, state) {
			return nil
		}
		return notFound("vms.state")
	default:
		return &cyclamendyke.Error{Op: "vms.state", Kind: cyclamendyke.KindInvalid}
	}
}

func notFound(op string) error {
	return &cyclamendyke.Error{Op: op, Kind: cyclamendyke.KindNotFound}
}
