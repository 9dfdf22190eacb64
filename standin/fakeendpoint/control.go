package fakeendpoint

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/go-faster/errors"
)

// FaultRequest sets one fault switch on the endpoints that match the selector.
type FaultRequest struct {
	Selector Selector `json:"selector,omitempty"`
	Fault    Fault    `json:"fault"`
}

// FaultResponse holds the numbers of endpoints and of open connections that a
// fault affected.
type FaultResponse struct {
	Endpoints   int `json:"endpoints"`
	Connections int `json:"connections"`
}

// NoMatchError reports a selector that matches no endpoint.
type NoMatchError struct{}

func (*NoMatchError) Error() string {
	return "no endpoint matches the selector: GET /endpoints lists them"
}

// Apply sets a fault switch on the endpoints that match the selector.
func (f *Fleet) Apply(req FaultRequest) (FaultResponse, error) {
	var response FaultResponse
	for _, server := range f.Select(req.Selector) {
		connections, err := server.Apply(req.Fault)
		if err != nil {
			return response, errors.Wrapf(err, "endpoint %s", server.Name())
		}
		response.Endpoints++
		response.Connections += connections
	}
	if response.Endpoints == 0 {
		return response, &NoMatchError{}
	}
	return response, nil
}

// EndpointInfo describes an endpoint in the response of GET /endpoints.
type EndpointInfo struct {
	Name          string   `json:"name"`
	Address       string   `json:"address"`
	Service       string   `json:"service"`
	Slots         int      `json:"slots"`
	Running       int      `json:"running"`
	FailureDomain string   `json:"failure_domain"`
	Rack          string   `json:"rack"`
	Worker        string   `json:"worker"`
	Crashed       bool     `json:"crashed"`
	Faults        Faults   `json:"faults"`
	Messages      Messages `json:"messages"`
}

type (
	faultInput     struct{ Body FaultRequest }
	faultOutput    struct{ Body FaultResponse }
	startsOutput   struct{ Body StartReport }
	messagesOutput struct{ Body Messages }
	infoOutput     struct{ Body []EndpointInfo }
)

// Register adds the control operations of the fleet to an API:
//
//	POST /faults/endpoints   set a fault switch
//	GET  /endpoints          list endpoints
//	GET  /starts             report of all task starts
//	GET  /messages           numbers of received messages, by kind
func (f *Fleet) Register(api huma.API) {
	huma.Post(api, "/faults/endpoints", f.serveFault)
	huma.Get(api, "/endpoints", f.serveEndpoints)
	huma.Get(api, "/starts", f.serveStarts)
	huma.Get(api, "/messages", f.serveMessages)
}

func (f *Fleet) serveFault(_ context.Context, in *faultInput) (*faultOutput, error) {
	response, err := f.Apply(in.Body)
	if err != nil {
		return nil, huma.NewError(http.StatusUnprocessableEntity, err.Error())
	}
	return &faultOutput{Body: response}, nil
}

func (f *Fleet) serveEndpoints(context.Context, *struct{}) (*infoOutput, error) {
	list := []EndpointInfo{}
	for _, s := range f.Servers() {
		list = append(list, s.info())
	}
	return &infoOutput{Body: list}, nil
}

func (s *Server) info() EndpointInfo {
	load := s.Load()
	return EndpointInfo{
		Name:          s.Name(),
		Address:       s.Address(),
		Service:       s.Service(),
		Slots:         load.Slots,
		Running:       load.Running,
		FailureDomain: s.Worker().FailureDomain,
		Rack:          s.Worker().Rack,
		Worker:        s.Worker().Name,
		Crashed:       s.Crashed(),
		Faults:        s.Faults(),
		Messages:      s.Messages(),
	}
}

func (f *Fleet) serveStarts(context.Context, *struct{}) (*startsOutput, error) {
	return &startsOutput{Body: f.Starts.Report()}, nil
}

func (f *Fleet) serveMessages(context.Context, *struct{}) (*messagesOutput, error) {
	return &messagesOutput{Body: f.Messages()}, nil
}
