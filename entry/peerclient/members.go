package peerclient

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/peer/peerpb"
)

// Seeds requests the list of VMs from the entries at configured addresses.
type Seeds struct {
	Client    *Client
	Addresses []string
}

// NoListError reports that none of the seed entries returned a list of VMs.
type NoListError struct {
	Tried int   // number of entries
	Last  error // of the last entry tried; may be nil
}

func (e *NoListError) Error() string {
	if e.Tried == 0 {
		return "no seed entries are configured: list some in peers.addresses of the settings"
	}
	return "none of the entries in peers.addresses returned a list of VMs: check that one of them is running and has read the platform's list"
}

// Unwrap returns the last error.
func (e *NoListError) Unwrap() error { return e.Last }

// Members returns the list of VMs of the first entry that has one.
func (s Seeds) Members(ctx context.Context) (platformapi.VMList, error) {
	var last error
	for _, address := range s.Addresses {
		list, err := s.Client.members(ctx, address)
		if err == nil {
			return list, nil
		}
		last = err
	}
	return platformapi.VMList{}, &NoListError{Tried: len(s.Addresses), Last: last}
}

var errNoVMList = errors.New("the entry has no list of VMs yet")

func (c *Client) members(ctx context.Context, address string) (platformapi.VMList, error) {
	ctx, cancel := context.WithTimeout(c.withHeaders(ctx), controlTimeout)
	defer cancel()
	reply, err := c.peer(address).control.Members(ctx, &peerpb.MembersRequest{})
	if err != nil {
		return platformapi.VMList{}, err
	}
	if !reply.GetKnown() {
		return platformapi.VMList{}, errNoVMList
	}
	var list platformapi.VMList
	err = json.Unmarshal(reply.GetList(), &list)
	return list, err
}
