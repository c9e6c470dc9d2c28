package status

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
)

const maxReportBytes = 4 << 20

// Read requests the report of the director that listens on the Unix socket at path. It fails if no
// process listens, if the whole answer does not arrive within two seconds, if the server answers
// with an HTTP status other than 200 (which the error contains), or if ctx ends.
func Read(ctx context.Context, path string) (report Report, err error) {
	client := http.Client{Timeout: ioTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "unix", path)
		},
	}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://director"+reportPath, nil)
	if err != nil {
		return report, err
	}
	response, err := client.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }() // the body is only read
	if response.StatusCode != http.StatusOK {
		return report, errors.New(response.Status)
	}
	return report, json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
}
