package caller

import (
	"errors"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cyclamendyke"
)

// requireOperator rejects requests without the operators' key.
func (a *api) requireOperator(next khttp.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if a.service.IsOperator(bearerToken(ctx.Request())) {
			return next(ctx)
		}
		return writeError(ctx, NewError("operator", KindDenied, errors.New("send the operators' key in the header Authorization")))
	}
}

// tables answers GET /v1/tables.
func (a *api) tables(ctx khttp.Context) error {
	text, revision, err := a.service.Tables(ctx)
	if err != nil {
		return writeError(ctx, err)
	}
	return ctx.JSON(http.StatusOK, struct {
		Revision cyclamendyke.Revision `json:"revision"`
		Routes   string                `json:"routes"`
		Pools    string                `json:"pools"`
	}{revision, text.Routes, text.Pools})
}

// checkTables answers POST /v1/tables/check.
func (a *api) checkTables(ctx khttp.Context) error {
	var text cyclamendyke.TablesText
	if err := decodeBody(ctx, maxTablesBytes, &text); err != nil {
		return writeError(ctx, err)
	}
	return writeFaults(ctx, http.StatusOK, a.service.CheckTables(text))
}

// writeFaults answers with the faults, as an empty JSON array if there are none.
func writeFaults(ctx khttp.Context, code int, faults []cyclamendyke.Fault) error {
	if faults == nil {
		faults = []cyclamendyke.Fault{}
	}
	return ctx.JSON(code, struct {
		Faults []cyclamendyke.Fault `json:"faults"`
	}{faults})
}

// editTables answers PUT /v1/tables.
func (a *api) editTables(ctx khttp.Context) error {
	var edit struct {
		Expected cyclamendyke.Revision `json:"expected"`
		Routes   string                `json:"routes"`
		Pools    string                `json:"pools"`
	}
	if err := decodeBody(ctx, maxTablesBytes, &edit); err != nil {
		return writeError(ctx, err)
	}
	text := cyclamendyke.TablesText{Routes: edit.Routes, Pools: edit.Pools}
	result, err := a.service.EditTables(ctx, text, edit.Expected)
	switch {
	case err != nil:
		return writeError(ctx, err)
	case len(result.Faults) > 0:
		return writeFaults(ctx, http.StatusBadRequest, result.Faults)
	case result.Conflict:
		return ctx.JSON(http.StatusConflict, struct {
			Revision cyclamendyke.Revision `json:"revision"`
			Detail   string                `json:"detail"`
		}{result.Revision, "another operator changed the tables first; read them again and repeat the edit"})
	}
	return writeRevision(ctx, result.Revision)
}

func writeRevision(ctx khttp.Context, revision cyclamendyke.Revision) error {
	return ctx.JSON(http.StatusOK, struct {
		Revision cyclamendyke.Revision `json:"revision"`
	}{revision})
}

// members answers GET /v1/members.
func (a *api) members(ctx khttp.Context) error {
	states, unreachable := a.service.Members(ctx)
	return ctx.JSON(http.StatusOK, struct {
		Members     []cyclamendyke.MemberState `json:"members"`
		Unreachable []cyclamendyke.Member      `json:"unreachable"`
	}{states, unreachable})
}

// grantKey answers POST /v1/keys.
func (a *api) grantKey(ctx khttp.Context) error {
	var grant struct {
		Team cyclamendyke.TeamName `json:"team"`
	}
	if err := decodeBody(ctx, maxSubmissionBytes, &grant); err != nil {
		return writeError(ctx, err)
	}
	granted, err := a.service.GrantKey(ctx, grant.Team)
	if err != nil {
		return writeError(ctx, err)
	}
	return ctx.JSON(http.StatusOK, struct {
		ID  string `json:"id"`
		Key string `json:"key"`
	}{granted.ID, granted.Key})
}

// keys answers GET /v1/keys.
func (a *api) keys(ctx khttp.Context) error {
	records, err := a.service.Keys(ctx)
	if err != nil {
		return writeError(ctx, err)
	}
	return ctx.JSON(http.StatusOK, struct {
		Keys []cyclamendyke.KeyRecord `json:"keys"`
	}{records})
}

// withdrawKey answers DELETE /v1/keys/{id}.
func (a *api) withdrawKey(ctx khttp.Context) error {
	revision, err := a.service.WithdrawKey(ctx, ctx.Vars().Get("id"))
	if err != nil {
		return writeError(ctx, err)
	}
	return writeRevision(ctx, revision)
}

// workers answers GET /v1/workers.
func (a *api) workers(ctx khttp.Context) error {
	requested := cyclamendyke.ZoneName(ctx.Query().Get("zone"))
	zone, workers, err := a.service.Workers(ctx, requested)
	if err != nil {
		return writeError(ctx, err)
	}
	return ctx.JSON(http.StatusOK, struct {
		Zone    cyclamendyke.ZoneName      `json:"zone"`
		Workers []cyclamendyke.WorkerState `json:"workers"`
	}{zone, workers})
}

// allotments answers GET /v1/allotments.
func (a *api) allotments(ctx khttp.Context) error {
	teams, revision := a.service.Allotments(ctx)
	return ctx.JSON(http.StatusOK, struct {
		Revision cyclamendyke.Revision                                 `json:"revision"`
		Teams    map[cyclamendyke.TeamName]cyclamendyke.TeamAllotments `json:"teams"`
	}{revision, teams})
}

// timeline answers GET /v1/timeline.
func (a *api) timeline(ctx khttp.Context) error {
	query := ctx.Query()
	member, events := a.service.Timeline(cyclamendyke.TimelineFilter{
		Request: cyclamendyke.RequestID(query.Get("request")),
		Worker:  cyclamendyke.WorkerName(query.Get("worker")),
		Team:    cyclamendyke.TeamName(query.Get("team")),
		Kind:    cyclamendyke.EventKind(query.Get("kind")),
	})
	return ctx.JSON(http.StatusOK, struct {
		Member cyclamendyke.MemberName      `json:"member"`
		Events []cyclamendyke.TimelineEvent `json:"events"`
	}{member, events})
}

// account answers GET /v1/account.
func (a *api) account(ctx khttp.Context) error {
	query := ctx.Query()
	records, truncated, err := a.service.Account(ctx,
		cyclamendyke.RequestID(query.Get("request")),
		cyclamendyke.TeamName(query.Get("team")),
		cyclamendyke.ZoneName(query.Get("zone")),
	)
	if err != nil {
		return writeError(ctx, err)
	}
	return ctx.JSON(http.StatusOK, struct {
		Records   []cyclamendyke.AccountRecord `json:"records"`
		Truncated bool                         `json:"truncated"`
	}{records, truncated})
}

// health answers GET /healthz.
func (a *api) health(w http.ResponseWriter, _ *http.Request) {
	if a.healthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
