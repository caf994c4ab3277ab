package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// callTimeout bounds one call of a command to the controller of this machine.
const callTimeout = 5 * time.Second

// request is a call to the controller of this machine.
type request httpcall.OutgoingRequest

// Encode implements httpcall.Requester.
func (r request) Encode() httpcall.OutgoingRequest { return httpcall.OutgoingRequest(r) }

// controllerCaller calls the controller of this machine.
type controllerCaller struct {
	client  *http.Client
	address ids.Address
}

func newControllerCaller(node *settings.Settings) controllerCaller {
	dialer := httpcall.Dialer{Timeout: callTimeout, UserTimeout: callTimeout}
	return controllerCaller{client: httpcall.NewClient(httpcall.ClientOptions{Dialer: dialer}), address: node.Listen["control"]}
}

// callController makes one call within callTimeout.
func callController[Response any, Pointer interface {
	*Response
	httpcall.ResponseReader
}](caller controllerCaller, call request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return httpcall.Do[Response, Pointer](ctx, caller.client, caller.address, call)
}

// statusError is a response other than 200.
type statusError struct {
	status int
	body   []byte
}

// Error gives the status and the body.
func (s statusError) Error() string {
	return fmt.Sprintf("the controller answered %d: %s", s.status, s.body)
}

// decodeOK decodes the JSON body of a response into target; a status other than 200 is a
// statusError.
func decodeOK(raw httpcall.RawResponse, target any) error {
	if raw.Status != http.StatusOK {
		return statusError{status: raw.Status, body: raw.Body}
	}
	return json.Unmarshal(raw.Body, target)
}

// acknowledgement is an answer without content.
type acknowledgement struct{}

// Decode implements httpcall.ResponseReader.
func (*acknowledgement) Decode(raw httpcall.RawResponse) error {
	if raw.Status != http.StatusOK {
		return statusError{status: raw.Status, body: raw.Body}
	}
	return nil
}
