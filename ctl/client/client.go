// Package client is a client of the operators' HTTP interface of the control replicas. It also
// reads the events of the entries, and merges all events into one timeline.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreyplank.org/core/committer"
	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/reporter"
)

// Errors of a client.
var (
	// ErrNoReplica is returned if no replica responded.
	ErrNoReplica = errors.New("no control replica answered")
	// ErrNotConfirmed is returned if no replica could confirm the document with a quorum.
	ErrNotConfirmed = errors.New("no quorum of the replicas confirmed the document; their copies may be out of date")
)

const (
	requestTimeout   = 12 * time.Second
	statusTimeout    = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Client sends requests to the replicas at its addresses in turn.
type Client struct {
	addresses []string
	key       string
	http      http.Client
}

// New returns a client of the replicas with these administration addresses. If key is not empty,
// requests carry it.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key}
}

// Result is the response to a change.
type Result struct {
	Status   string              `json:"status"`
	Detail   string              `json:"detail"`
	Answer   committer.Answer    `json:"answer,omitzero"`
	Problems []validator.Problem `json:"problems,omitempty"`
}

// Document is the response to a read of the configuration.
type Document struct {
	Revision  uint64             `json:"revision"`
	Confirmed bool               `json:"confirmed"`
	Document  validator.Document `json:"document"`
}

// Apply sends a change to the replicas in turn, until one reports its outcome. The change's
// identity makes it safe to send it again, even after a lost response.
func (c *Client) Apply(ctx context.Context, document []byte) (Result, error) {
	last := Result{}
	err := ErrNoReplica
	for _, address := range c.addresses {
		var result Result
		status, sendErr := c.send(ctx, requestTimeout, http.MethodPost, address, "/comfreyplank/v1/document", document, &result)
		if sendErr != nil {
			err = sendErr
			continue
		}
		last = result
		err = nil
		if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			break
		}
	}
	return last, err
}

// Evacuate begins or finishes the evacuation of a data centre. It sends the order to the replicas in turn, until one
// confirms it; sending it again changes nothing. A replica may not know the data centre yet that another one knows.
func (c *Client) Evacuate(ctx context.Context, dataCentre string, active bool) (Result, error) {
	method := http.MethodDelete
	if active {
		method = http.MethodPut
	}
	last := Result{}
	err := ErrNoReplica
	for _, address := range c.addresses {
		var result Result
		status, sendErr := c.send(ctx, requestTimeout, method, address, "/comfreyplank/v1/evacuations/"+url.PathEscape(dataCentre), nil, &result)
		if sendErr != nil {
			if err != nil {
				err = sendErr
			}
			continue
		}
		last = result
		err = nil
		if status == http.StatusOK {
			break
		}
	}
	return last, err
}

// Read returns the current configuration from the first replica that has it confirmed by a
// quorum.
func (c *Client) Read(ctx context.Context) (Document, error) {
	err := ErrNoReplica
	for _, address := range c.addresses {
		var d Document
		_, sendErr := c.send(ctx, requestTimeout, http.MethodGet, address, "/comfreyplank/v1/document", nil, &d)
		if sendErr == nil && d.Confirmed {
			return d, nil
		}
		if sendErr == nil {
			err = ErrNotConfirmed
		}
	}
	return Document{}, err
}

// Status returns the status of each replica that responds.
func (c *Client) Status(ctx context.Context) ([]controller.Status, error) {
	var statuses []controller.Status
	for _, address := range c.addresses {
		var s controller.Status
		if _, err := c.send(ctx, statusTimeout, http.MethodGet, address, "/comfreyplank/v1/status", nil, &s); err == nil {
			statuses = append(statuses, s)
		}
	}
	if len(statuses) == 0 {
		return nil, ErrNoReplica
	}
	return statuses, nil
}

// Timeline is the merged event timeline of the processes that responded.
type Timeline struct {
	Events      []recorder.Event `json:"events"`
	Lost        uint64           `json:"lost"`
	Overwritten uint64           `json:"overwritten"`
	// Silent lists the addresses of the processes that did not respond.
	Silent []string `json:"silent,omitempty"`
}

// Timeline requests the events that pass a filter from every replica, and from every entry in
// their statuses.
func (c *Client) Timeline(ctx context.Context, f recorder.Filter) Timeline {
	var merged Timeline
	var lists [][]recorder.Event
	for _, address := range c.adminAddresses(ctx) {
		var timeline reporter.Timeline
		if _, err := c.send(ctx, statusTimeout, http.MethodGet, address, "/comfreyplank/v1/timeline?"+encodeFilter(f), nil, &timeline); err != nil {
			merged.Silent = append(merged.Silent, address)
			continue
		}
		lists = append(lists, timeline.Events)
		merged.Lost += timeline.Dropped
		merged.Overwritten += timeline.Overwritten
	}
	merged.Events = recorder.Merge(lists...)
	return merged
}

// adminAddresses returns the administration addresses of the replicas and of the entries in their
// statuses.
func (c *Client) adminAddresses(ctx context.Context) []string {
	addresses := append([]string(nil), c.addresses...)
	seen := make(map[string]bool)
	statuses, _ := c.Status(ctx) // without a replica, no entry is known
	for _, s := range statuses {
		for _, e := range s.Entries {
			if !seen[e.Admin] {
				seen[e.Admin] = true
				addresses = append(addresses, e.Admin)
			}
		}
	}
	return addresses
}

// encodeFilter returns a filter as query parameters.
func encodeFilter(f recorder.Filter) string {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("instance", f.Instance)
	set("kind", string(f.Kind))
	set("service", f.Service)
	set("endpoint", f.Endpoint)
	set("request", f.Request)
	set("after-ms", strconv.FormatInt(f.After.Wall, 10))
	set("after-count", strconv.FormatUint(uint64(f.After.Count), 10))
	return values.Encode()
}

// send sends a request, decodes the body of the response into out, and returns the HTTP status.
func (c *Client) send(ctx context.Context, timeout time.Duration, method, address, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read response")
	}
	if response.StatusCode == http.StatusForbidden {
		return 0, errors.New("the operator key is wrong")
	}
	return response.StatusCode, errors.Wrap(json.Unmarshal(data, out), "decode response")
}
