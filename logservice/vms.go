package logservice

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// VMs implements VMLister. Its error is a *RefusedError or an
// *UnavailableError.
func (c *Client) VMs(ctx context.Context, query VMQuery) (VMList, error) {
	const operation = "list VMs"
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	list, err := c.listVMs(ctx, operation, query)
	var refused *RefusedError
	if err == nil || errors.As(err, &refused) {
		return list, err
	}
	return VMList{}, &UnavailableError{Operation: operation, Cause: err}
}

func (c *Client) listVMs(ctx context.Context, operation string, query VMQuery) (VMList, error) {
	header := http.Header{}
	if query.Known != "" {
		header.Set("If-None-Match", query.Known)
	}
	response, _, err := c.exchange(ctx, apiCall{method: http.MethodGet, url: c.vmsURL(query)}, header)
	if err != nil {
		return VMList{}, err
	}
	defer response.Body.Close()
	list := VMList{Version: response.Header.Get("ETag")}
	switch response.StatusCode {
	case http.StatusNotModified:
		return VMList{Version: query.Known, Unchanged: true}, nil
	case http.StatusOK:
		return list, decode(response.Body, &list.VMList)
	}
	return VMList{}, statusError(operation, response)
}

func (c *Client) vmsURL(query VMQuery) *url.URL {
	u := c.base.JoinPath("v1", "vms")
	if query.EndpointsIn != "" {
		u.RawQuery = url.Values{"endpoints_in": {query.EndpointsIn}}.Encode()
	}
	return u
}
