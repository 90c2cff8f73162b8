package daisyoperator

import (
	"net/http"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
)

// Kind identifies the type of a failure in a problem document.
type Kind string

// Kinds of failures.
const (
	KindInvalidIntent  Kind = "invalid-intent"
	KindInvalidRequest Kind = "invalid-request"
	KindNotFound       Kind = "not-found"
	KindStale          Kind = "stale"
	KindEnded          Kind = "ended"
	KindUnauthorized   Kind = "unauthorized"
	KindUnavailable    Kind = "unavailable"
	KindUnknown        Kind = "unknown"
	KindInternal       Kind = "internal"
)

type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   Kind   `json:"kind"`
}

// failureKind maps an error type to the kind, status and title of its problem document.
type failureKind struct {
	kind      Kind
	status    int
	errorType *errorx.Type
	title     string
}

var failureKinds = []failureKind{
	{KindInvalidIntent, http.StatusUnprocessableEntity, daisyerror.InvalidIntent, "The intent is not valid"},
	{KindInvalidRequest, http.StatusBadRequest, daisyerror.InvalidRequest, "The request is not valid"},
	{KindNotFound, http.StatusNotFound, daisyerror.NotFound, "Nothing carries this name"},
	{KindStale, http.StatusConflict, daisyerror.Stale, "The plan is stale"},
	{KindEnded, http.StatusConflict, daisyerror.Ended, "The plan has come to its end"},
	{KindUnauthorized, http.StatusUnauthorized, daisyerror.Unauthorized, "The operator token is missing or wrong"},
	{KindUnavailable, http.StatusServiceUnavailable, daisyerror.Unavailable, "Not carried out; try again"},
	{KindUnknown, http.StatusGatewayTimeout, daisyerror.Unknown, "It is not known whether it was carried out"},
	{KindInternal, http.StatusInternalServerError, daisyerror.Internal, "daisyyoke is at fault"},
}

func newProblem(err error) problem {
	for _, k := range failureKinds {
		if errorx.IsOfType(err, k.errorType) {
			return problem{Type: "about:blank", Title: k.title, Status: k.status, Detail: daisyerror.Text(err), Kind: k.kind}
		}
	}
	return problem{
		Type:   "about:blank",
		Title:  "daisyyoke is at fault",
		Status: http.StatusInternalServerError,
		Detail: daisyerror.Text(err),
		Kind:   KindInternal,
	}
}

func problemError(p problem) error {
	for _, k := range failureKinds {
		if k.kind == p.Kind {
			return k.errorType.New("%s", p.Detail)
		}
	}
	return daisyerror.Unavailable.New(
		"the server answered %d %s, unlike a VM's operators' address; check --server, and give --tls-authority if it has TLS",
		p.Status, p.Title)
}
