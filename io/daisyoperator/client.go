package daisyoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyintent"
	"daisyyoke/io/daisyresponse"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 4 * daisyintent.MaxSize

// ClientOptions are the address of the server and the identity of the operator.
type ClientOptions struct {
	// Server is the base URL, for instance http://127.0.0.1:8081.
	Server string
	// Token is the operator token; empty for none.
	Token string
	// Operator is the operator's name in the audit trail.
	Operator string
	HTTP     *http.Client
}

// Client is an HTTP client for the operators' interface of one VM. Its methods fail
// with the types of daisyerror: InvalidIntent, InvalidRequest, NotFound, Stale,
// Unauthorized, Unavailable, Unknown and Internal.
type Client struct{ options ClientOptions }

// NewClient returns a client.
func NewClient(options ClientOptions) *Client { return &Client{options: options} }

// CreatePlan creates a plan from an intent in YAML.
func (c *Client) CreatePlan(ctx context.Context, intent []byte) (Plan, error) {
	var p Plan
	err := c.do(ctx, http.MethodPost, "/v1/plans", intent, &p)
	return p, err
}

// RestorePlan creates a plan that restores the intent of an earlier revision.
func (c *Client) RestorePlan(ctx context.Context, revision uint64) (Plan, error) {
	var p Plan
	err := c.do(ctx, http.MethodPost, "/v1/plans?restore="+strconv.FormatUint(revision, 10), nil, &p)
	return p, err
}

// ListPlans returns the plans created yesterday and today (UTC), newest first.
func (c *Client) ListPlans(ctx context.Context) ([]Plan, error) {
	var p []Plan
	err := c.do(ctx, http.MethodGet, "/v1/plans", nil, &p)
	return p, err
}

// ViewPlan returns one plan.
func (c *Client) ViewPlan(ctx context.Context, id string) (Plan, error) {
	var p Plan
	err := c.do(ctx, http.MethodGet, planPath(id), nil, &p)
	return p, err
}

// ConfirmPlan puts a plan in force.
func (c *Client) ConfirmPlan(ctx context.Context, id string) (Plan, error) {
	var p Plan
	err := c.do(ctx, http.MethodPost, planPath(id)+"/confirm", nil, &p)
	return p, err
}

// DiscardPlan discards a plan that is not confirmed.
func (c *Client) DiscardPlan(ctx context.Context, id string) (Plan, error) {
	var p Plan
	err := c.do(ctx, http.MethodPost, planPath(id)+"/discard", nil, &p)
	return p, err
}

// ViewConfig returns a confirmed configuration; revision 0 means the one in force.
func (c *Client) ViewConfig(ctx context.Context, revision uint64) (Config, error) {
	path := "/v1/config"
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	var v Config
	err := c.do(ctx, http.MethodGet, path, nil, &v)
	return v, err
}

// ListServices returns the services in the configuration in force.
func (c *Client) ListServices(ctx context.Context) ([]Service, error) {
	var s []Service
	err := c.do(ctx, http.MethodGet, "/v1/services", nil, &s)
	return s, err
}

// ListEndpoints returns the endpoints in the configuration in force.
func (c *Client) ListEndpoints(ctx context.Context) ([]Endpoint, error) {
	var e []Endpoint
	err := c.do(ctx, http.MethodGet, "/v1/endpoints", nil, &e)
	return e, err
}

// PlanEndpoint creates a plan that drains or resumes an endpoint.
func (c *Client) PlanEndpoint(ctx context.Context, request EndpointRequest) (Plan, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Plan{}, daisyerror.Internal.Wrap(err, "encoding the endpoint request")
	}
	var p Plan
	err = c.do(ctx, http.MethodPost, "/v1/endpoints/plans", body, &p)
	return p, err
}

// ListVMs returns the VMs.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	var v []VM
	err := c.do(ctx, http.MethodGet, "/v1/vms", nil, &v)
	return v, err
}

// DrainVM starts the planned stop of a VM.
func (c *Client) DrainVM(ctx context.Context, name string) (VM, error) {
	var v VM
	err := c.do(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(name)+"/drain", nil, &v)
	return v, err
}

func planPath(id string) string { return "/v1/plans/" + url.PathEscape(id) }

// OperatorHeader is the request header with the operator's name for the audit trail.
const OperatorHeader = "Daisy-Operator"

func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.options.Server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return daisyerror.InvalidSetting.Wrap(err, "--server %q", c.options.Server)
	}
	request.Header.Set(OperatorHeader, c.options.Operator)
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.options.HTTP.Do(request)
	if daisyresponse.IsMalformed(err) {
		return daisyerror.Unknown.Wrap(err, "reading the answer")
	}
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "no response from %s; check --server and that daisyd runs there", c.options.Server)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, result)
}

func decodeResponse(response *http.Response, result any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return daisyerror.Unknown.Wrap(err, "reading the answer")
	}
	if response.StatusCode/100 != 2 {
		p := problem{Status: response.StatusCode, Title: http.StatusText(response.StatusCode)}
		_ = json.Unmarshal(text, &p)
		return problemError(p)
	}
	if err := json.Unmarshal(text, result); err != nil {
		return daisyerror.Unknown.Wrap(err, "reading the answer")
	}
	return nil
}
