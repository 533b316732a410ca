// Package client talks to the operators' interface of the control replicas, and
// merges what they and the entries say.
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
	// ErrNoReplica is returned when no replica answered.
	ErrNoReplica = errors.New("no control replica answered")
	// ErrNotConfirmed is returned when no replica could reach a majority.
	ErrNotConfirmed = errors.New("no majority of the replicas could be asked; what they have may be behind")
)

const (
	requestTimeout = 12 * time.Second
	statusTimeout  = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client asks the replicas at its addresses in turn.
type Client struct {
	addresses []string
	key       string
	http      http.Client
}

// New returns a client of the replicas' operator addresses.
func New(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key}
}

// Result is the answer to a change.
type Result struct {
	Status   string              `json:"status"`
	Detail   string              `json:"detail"`
	Answer   committer.Answer    `json:"answer,omitzero"`
	Problems []validator.Problem `json:"problems,omitempty"`
}

// Document is the configuration in force.
type Document struct {
	Revision  uint64             `json:"revision"`
	Confirmed bool               `json:"confirmed"`
	Document  validator.Document `json:"document"`
}

// Apply sends a change. A replica that took nothing is followed by the next; the
// change's identity makes it safe to send it again after a lost answer too.
func (c *Client) Apply(ctx context.Context, document []byte) (Result, error) {
	last := Result{}
	err := ErrNoReplica
	for _, address := range c.addresses {
		var result Result
		status, failure := c.call(ctx, requestTimeout, http.MethodPost, address, "/comfreyplank/v1/document", document, &result)
		if failure != nil {
			err = failure
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

// Read returns the configuration in force, confirmed by a majority.
func (c *Client) Read(ctx context.Context) (Document, error) {
	err := ErrNoReplica
	for _, address := range c.addresses {
		var d Document
		_, failure := c.call(ctx, requestTimeout, http.MethodGet, address, "/comfreyplank/v1/document", nil, &d)
		if failure == nil && d.Confirmed {
			return d, nil
		}
		if failure == nil {
			err = ErrNotConfirmed
		}
	}
	return Document{}, err
}

// Status returns what each replica that answers knows.
func (c *Client) Status(ctx context.Context) ([]controller.Status, error) {
	var all []controller.Status
	for _, address := range c.addresses {
		var s controller.Status
		if _, err := c.call(ctx, statusTimeout, http.MethodGet, address, "/comfreyplank/v1/status", nil, &s); err == nil {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil, ErrNoReplica
	}
	return all, nil
}

// Timeline is the merged time line of the processes that answered.
type Timeline struct {
	Events      []recorder.Event `json:"events"`
	Lost        uint64           `json:"lost"`
	Overwritten uint64           `json:"overwritten"`
	// Silent lists the processes that did not answer.
	Silent []string `json:"silent,omitempty"`
}

// Timeline asks every replica, and every entry that they know, for events.
func (c *Client) Timeline(ctx context.Context, f recorder.Filter) Timeline {
	var merged Timeline
	var lists [][]recorder.Event
	for _, address := range c.processes(ctx) {
		var part reporter.Timeline
		if _, err := c.call(ctx, statusTimeout, http.MethodGet, address, "/comfreyplank/v1/timeline?"+query(f), nil, &part); err != nil {
			merged.Silent = append(merged.Silent, address)
			continue
		}
		lists = append(lists, part.Events)
		merged.Lost += part.Dropped
		merged.Overwritten += part.Overwritten
	}
	merged.Events = recorder.Merge(lists...)
	return merged
}

// processes lists the administration addresses of all processes.
func (c *Client) processes(ctx context.Context) []string {
	addresses := append([]string(nil), c.addresses...)
	seen := make(map[string]bool)
	all, _ := c.Status(ctx) // without replicas there are no entries to ask
	for _, s := range all {
		for _, e := range s.Entries {
			if !seen[e.Admin] {
				seen[e.Admin] = true
				addresses = append(addresses, e.Admin)
			}
		}
	}
	return addresses
}

func query(f recorder.Filter) string {
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

func (c *Client) call(ctx context.Context, timeout time.Duration, method, address, path string, body []byte, into any) (int, error) {
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
		return 0, errors.Wrap(err, "ask replica")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if response.StatusCode == http.StatusForbidden {
		return 0, errors.New("the operator key is wrong")
	}
	return response.StatusCode, errors.Wrap(json.Unmarshal(data, into), "decode answer")
}
