package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"cyclamendyke"
)

// callerHeader names the calling process, so that faults can apply to the calls of one process.
const callerHeader = "Cyclamendyke-Caller"

// maxBodyBytes is enough for a value of kv.MaxValueBytes in base64.
const maxBodyBytes = 2 << 20

// handleJSON returns a handler that decodes the JSON body, calls serve and encodes its result as JSON.
func handleJSON[Body, Response any](serve func(ctx context.Context, r *http.Request, body Body) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err := decoder.Decode(&body); err != nil {
			writeError(w, &cyclamendyke.Error{Op: "decode", Kind: cyclamendyke.KindInvalid, Err: err})
			return
		}
		response, err := serve(r.Context(), r, body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

// writeError responds with an error; for KindUnknown it drops the connection instead, since the
// response is to be lost.
func writeError(w http.ResponseWriter, err error) {
	callErr := &cyclamendyke.Error{Kind: cyclamendyke.KindInvalid, Err: err}
	errors.As(err, &callErr)
	if callErr.Kind == cyclamendyke.KindUnknown {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, statusCode(callErr.Kind), struct {
		Kind   cyclamendyke.Kind  `json:"kind"`
		Detail string             `json:"detail"`
		Fence  cyclamendyke.Epoch `json:"fence,omitzero"`
	}{callErr.Kind, callErr.Error(), callErr.Fence})
}

func statusCode(kind cyclamendyke.Kind) int {
	switch kind {
	case cyclamendyke.KindNotFound:
		return http.StatusNotFound
	case cyclamendyke.KindLimited:
		return http.StatusTooManyRequests
	case cyclamendyke.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case cyclamendyke.KindUnavailable:
		return http.StatusServiceUnavailable
	case cyclamendyke.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // Encoding fails only if the client has disconnected.
}
