package caller

import (
	"errors"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cyclamendyke"
)

// submit answers POST /v1/jobs.
func (a *api) submit(ctx khttp.Context) error {
	var submission cyclamendyke.Submission
	if err := decodeBody(ctx, maxSubmissionBytes, &submission); err != nil {
		return writeOutcome(ctx, a.service.RefuseMalformed(cyclamendyke.ReasonBadRequest, err.Error()))
	}
	return writeOutcome(ctx, a.service.Submit(ctx, bearerToken(ctx.Request()), submission))
}

// status answers GET /v1/jobs/{request}.
func (a *api) status(ctx khttp.Context) error {
	request := cyclamendyke.RequestID(ctx.Vars().Get("request"))
	status, err := a.service.Status(ctx, bearerToken(ctx.Request()), request)
	return writeJobStatus(ctx, request, status, err)
}

// cancel answers DELETE /v1/jobs/{request}.
func (a *api) cancel(ctx khttp.Context) error {
	request := cyclamendyke.RequestID(ctx.Vars().Get("request"))
	status, err := a.service.Cancel(ctx, bearerToken(ctx.Request()), request)
	return writeJobStatus(ctx, request, status, err)
}

// writeJobStatus writes a status, or an outcome with the reason why there is none.
func writeJobStatus(ctx khttp.Context, request cyclamendyke.RequestID, status cyclamendyke.JobStatus, err error) error {
	if err == nil {
		return ctx.JSON(http.StatusOK, status)
	}
	outcome := cyclamendyke.Outcome{Request: request, Detail: err.Error()}
	switch {
	case errors.Is(err, KindDenied):
		outcome.Reason = cyclamendyke.ReasonBadKey
		return ctx.JSON(http.StatusUnauthorized, outcome)
	case errors.Is(err, cyclamendyke.KindNotFound):
		outcome.Reason = cyclamendyke.ReasonNotFound
		return ctx.JSON(http.StatusNotFound, outcome)
	}
	outcome.Reason = cyclamendyke.ReasonNoScheduler
	outcome.RetryAfter = defaultRetryAfter
	return ctx.JSON(http.StatusServiceUnavailable, outcome)
}
