package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cyclamendyke"
)

// Limits on the size of request bodies, in bytes.
const (
	maxSubmissionBytes = 256 << 10
	maxTablesBytes     = 2 << 20
)

// Config configures the HTTP server.
type Config struct {
	Listener net.Listener
	Service  Service
	Gatherer prometheus.Gatherer
	Healthy  func() bool // Whether the load balancer should send callers here.
}

// api holds the dependencies of the HTTP handlers.
type api struct {
	service Service
	healthy func() bool
}

// NewServer returns the HTTP server; the caller starts and stops it.
func NewServer(cfg Config) *khttp.Server {
	a := &api{service: cfg.Service, healthy: cfg.Healthy}
	// The server's own timeout would cut off waiting callers; each call has its own timeout.
	server := khttp.NewServer(khttp.Listener(cfg.Listener), khttp.Timeout(0))
	r := server.Route("/v1")
	r.POST("/jobs", a.submit)
	r.GET("/jobs/{request}", a.status)
	r.DELETE("/jobs/{request}", a.cancel)
	r.GET("/tables", a.requireOperator(a.tables))
	r.PUT("/tables", a.requireOperator(a.editTables))
	r.POST("/tables/check", a.requireOperator(a.checkTables))
	r.GET("/members", a.requireOperator(a.members))
	r.POST("/keys", a.requireOperator(a.grantKey))
	r.GET("/keys", a.requireOperator(a.keys))
	r.DELETE("/keys/{id}", a.requireOperator(a.withdrawKey))
	r.GET("/workers", a.requireOperator(a.workers))
	r.GET("/allotments", a.requireOperator(a.allotments))
	r.GET("/timeline", a.requireOperator(a.timeline))
	r.GET("/account", a.requireOperator(a.account))
	server.Handle("/metrics", promhttp.HandlerFor(cfg.Gatherer, promhttp.HandlerOpts{}))
	server.HandleFunc("/healthz", a.health)
	return server
}

// bearerToken returns the key in the Authorization header, or an empty string.
func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// decodeBody decodes a JSON body of at most limit bytes and rejects unknown fields.
func decodeBody(ctx khttp.Context, limit int64, into any) error {
	body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, limit)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return NewError("decode", cyclamendyke.KindInvalid, err)
	}
	if decoder.More() {
		return NewError("decode", cyclamendyke.KindInvalid, errors.New("more than one value in the body"))
	}
	return nil
}

// writeError answers an operator's call with an error's status code, reason and detail.
func writeError(ctx khttp.Context, err error) error {
	code, reason := errorStatus(err)
	return ctx.JSON(code, struct {
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}{reason, err.Error()})
}

// errorStatus maps an error to its HTTP status code and reason.
func errorStatus(err error) (int, string) {
	switch {
	case errors.Is(err, KindDenied):
		return http.StatusUnauthorized, string(cyclamendyke.ReasonBadKey)
	case errors.Is(err, cyclamendyke.KindNotFound):
		return http.StatusNotFound, string(cyclamendyke.ReasonNotFound)
	case errors.Is(err, cyclamendyke.KindConflict):
		return http.StatusConflict, string(cyclamendyke.ReasonConflict)
	case errors.Is(err, cyclamendyke.KindInvalid), errors.Is(err, cyclamendyke.KindTooLarge):
		return http.StatusBadRequest, string(cyclamendyke.ReasonBadRequest)
	}
	if errors.Is(err, cyclamendyke.KindUnknown) {
		return http.StatusServiceUnavailable, string(cyclamendyke.ReasonAnswerLost) // The call may have taken effect.
	}
	return http.StatusServiceUnavailable, string(cyclamendyke.ReasonStoreUnavailable)
}

// outcomeStatus maps an outcome to its HTTP status code.
func outcomeStatus(outcome cyclamendyke.Outcome) int {
	switch outcome.Verdict {
	case cyclamendyke.VerdictPending:
		return http.StatusAccepted
	case cyclamendyke.VerdictRan, cyclamendyke.VerdictMayHaveRun:
		return http.StatusOK
	}
	switch outcome.Reason {
	case cyclamendyke.ReasonBadKey:
		return http.StatusUnauthorized
	case cyclamendyke.ReasonWrongTeam:
		return http.StatusForbidden
	case cyclamendyke.ReasonBadRequest, cyclamendyke.ReasonUnknownRoute:
		return http.StatusBadRequest
	case cyclamendyke.ReasonNeverFits, cyclamendyke.ReasonOverLimit:
		return http.StatusUnprocessableEntity
	case cyclamendyke.ReasonQueueFull:
		return http.StatusTooManyRequests
	case cyclamendyke.ReasonNotFound:
		return http.StatusNotFound
	case cyclamendyke.ReasonConflict, cyclamendyke.ReasonCancelled:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// writeOutcome writes an outcome with its status code and a Retry-After header.
func writeOutcome(ctx khttp.Context, outcome cyclamendyke.Outcome) error {
	if outcome.RetryAfter > 0 {
		seconds := int(math.Ceil(outcome.RetryAfter.Seconds()))
		ctx.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	return ctx.JSON(outcomeStatus(outcome), outcome)
}

// defaultRetryAfter is the Retry-After value for errors that carry none.
const defaultRetryAfter = 2 * time.Second
