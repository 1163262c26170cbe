package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/entry"
)

// operatorRequestTimeout limits the duration of one request to an instance.
const operatorRequestTimeout = 10 * time.Second

// maxOperatorResponseBytes limits how much of an instance's response is read.
const maxOperatorResponseBytes = 64 << 20

// operatorFlags returns the flags that select the instances to query, the operators' key and the
// output format.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:     "instance",
			Usage:    "base URL of an instance, http://ip:port; an instance reports only the programs that it owns, so give all",
			Required: true,
		},
		operatorKeyFlag(),
		&cli.BoolFlag{Name: "json", Usage: "print JSON, one object a line"},
	}
}

// operatorKeyFlag returns the bearer key flag of all commands that send requests to an instance.
func operatorKeyFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "key",
		Usage:   "the operators' bearer key",
		Sources: cli.EnvVars("FOXHALL_OPERATOR_KEY"),
	}
}

// operatorClient sends requests to the operators' endpoints of instances.
type operatorClient struct {
	instances []string
	key       string
	http      *http.Client
}

func newOperatorClient(c *cli.Command) *operatorClient {
	return &operatorClient{
		instances: c.StringSlice("instance"),
		key:       c.String("key"),
		http:      &http.Client{Timeout: operatorRequestTimeout},
	}
}

// statusError is an error response of an instance.
type statusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.Status) + ": " + e.Message }

// getAll queries every instance and passes each response to handle. After a failure it still queries
// the other instances, and returns the last failure at the end, so that an incomplete list is not
// mistaken for a complete one.
func getAll[T any](ctx context.Context, o *operatorClient, path string, query url.Values, handle func(T)) error {
	var lastErr error
	for _, instance := range o.instances {
		var response T
		err := o.do(ctx, http.MethodGet, instance, path+"?"+query.Encode(), nil, &response)
		if err != nil {
			lastErr = errors.Wrapf(err, "incomplete: %s", instance)
			continue
		}
		handle(response)
	}
	return lastErr
}

func (o *operatorClient) do(ctx context.Context, method, instance, path string, body []byte, result any) error {
	address := strings.TrimSuffix(instance, "/") + "/operator/v1" + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	if o.key != "" {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	response, err := o.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	payload, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the response")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &statusError{Status: response.StatusCode, Message: errorMessage(payload)}
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(payload, result), "decode the response")
}

func errorMessage(payload []byte) string {
	var body struct {
		Message string            `json:"message"`
		Error   entry.ErrorDetail `json:"error"`
	}
	if json.Unmarshal(payload, &body) == nil && body.Message+body.Error.Message != "" {
		return body.Message + body.Error.Message
	}
	return strings.TrimSpace(string(payload))
}

// printJSONLines writes each item as JSON on its own line.
func printJSONLines[T any](w io.Writer, items []T) error {
	encoder := json.NewEncoder(w)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
