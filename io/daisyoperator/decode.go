package daisyoperator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyintent"
)

// maxRequestBytes bounds the body of a request other than an intent.
const maxRequestBytes = 64 << 10

// decoder decodes the command in a request. It fails with the types of daisyerror.
type decoder func(r *http.Request) (Command, error)

// decoders are the decoders by request pattern.
var decoders = map[string]decoder{
	"POST /v1/plans":              decodeCreatePlan,
	"GET /v1/plans":               func(*http.Request) (Command, error) { return ListPlans{}, nil },
	"GET /v1/plans/{id}":          func(r *http.Request) (Command, error) { return ViewPlan{ID: planID(r)}, nil },
	"POST /v1/plans/{id}/confirm": func(r *http.Request) (Command, error) { return ConfirmPlan{ID: planID(r)}, nil },
	"POST /v1/plans/{id}/discard": func(r *http.Request) (Command, error) { return DiscardPlan{ID: planID(r)}, nil },
	"GET /v1/config":              decodeViewConfig,
	"GET /v1/services":            func(*http.Request) (Command, error) { return ListServices{}, nil },
	"GET /v1/endpoints":           func(*http.Request) (Command, error) { return ListEndpoints{}, nil },
	"POST /v1/endpoints/plans":    decodePlanEndpoint,
	"GET /v1/vms":                 func(*http.Request) (Command, error) { return ListVMs{}, nil },
	"POST /v1/vms/{name}/drain":   func(r *http.Request) (Command, error) { return DrainVM{Name: vmName(r)}, nil },
}

func planID(r *http.Request) daisyplan.ID { return daisyplan.ID(r.PathValue("id")) }

func vmName(r *http.Request) daisyvm.Name { return daisyvm.Name(r.PathValue("name")) }

func decodeCreatePlan(r *http.Request) (Command, error) {
	if r.URL.Query().Has("restore") {
		revision, err := parseRevision(r.URL.Query().Get("restore"))
		return RestorePlan{Revision: revision}, err
	}
	intent, err := daisyintent.Decode(r.Body)
	if err != nil {
		return nil, err
	}
	return CreatePlan{Intent: intent}, nil
}

func decodeViewConfig(r *http.Request) (Command, error) {
	text := r.URL.Query().Get("revision")
	if text == "" {
		return ViewConfig{}, nil
	}
	revision, err := parseRevision(text)
	return ViewConfig{Revision: revision}, err
}

func parseRevision(text string) (daisyconfig.Revision, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		return 0, daisyerror.InvalidRequest.New("revision %q: want a whole number from 1", text)
	}
	return daisyconfig.Revision(revision), nil
}

func decodePlanEndpoint(r *http.Request) (Command, error) {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	var request EndpointRequest
	if err := d.Decode(&request); err != nil {
		return nil, daisyerror.InvalidRequest.Wrap(err, "reading the request")
	}
	if !request.Address.IsValid() {
		return nil, daisyerror.InvalidRequest.New("address is missing; want IP:PORT")
	}
	return PlanEndpoint{Request: request}, nil
}
