package httpconn

import "net/http"

// NewTransport returns a RoundTripper that sends calls by t and fails with ErrMalformed on responses without a
// proper status, which net/http takes for answers. t drops spaces before a status, so that those are not seen.
func NewTransport(t *http.Transport) http.RoundTripper { return &strictTransport{t} }

type strictTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *strictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkStatusLine([]byte(response.Proto + " " + response.Status + "\n")); err != nil {
		t.discard(response)
		return nil, err
	}
	return response, nil
}

// discard closes the connection of a malformed response. That of one without a body is idle by now, or serves
// another call.
func (t *strictTransport) discard(response *http.Response) {
	response.Body.Close()
	t.base.CloseIdleConnections()
}

// CloseIdleConnections closes the connections that are not in use, see http.Client.
func (t *strictTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }
