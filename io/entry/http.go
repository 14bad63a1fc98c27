package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cyclamendyke"
)

const (
	dialTimeout       = 3 * time.Second
	keepAliveIdle     = 10 * time.Second // Time without traffic before the first probe.
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	maxResponseBytes  = 64 << 20
)

// HTTP sends requests to entry VMs.
type HTTP struct {
	client *khttp.Client
}

// NewHTTP returns an HTTP without a timeout of its own: a call ends with its context, or when TCP
// keep-alive probes find the connection dead.
func NewHTTP() (*HTTP, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	client, err := khttp.NewClient(
		context.Background(),
		khttp.WithTransport(&http.Transport{DialContext: dialer.DialContext}),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, &Error{Op: "entry.new", Kind: cyclamendyke.KindInvalid, Err: err}
	}
	return &HTTP{client: client}, nil
}

// Do sends the request to its address; an error matches KindUnavailable if no connection was made,
// else KindUnknown.
func (h *HTTP) Do(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := h.roundTrip(ctx, request)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return response, newError(request, cyclamendyke.KindUnknown, err)
	default:
		return response, newError(request, cyclamendyke.KindUnavailable, err)
	}
}

func (h *HTTP) roundTrip(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return cyclamendyke.EntryResponse{}, err
	}
	if request.Body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if request.Key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+request.Key)
	}
	response, err := h.client.Do(httpRequest)
	if err != nil {
		return cyclamendyke.EntryResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return cyclamendyke.EntryResponse{}, err
	}
	if len(body) > maxResponseBytes {
		return cyclamendyke.EntryResponse{}, fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return cyclamendyke.EntryResponse{Status: response.StatusCode, Body: body}, nil
}
