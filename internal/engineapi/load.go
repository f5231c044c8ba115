// Package engineapi is a client for the engines' HTTP interface. It reads load reports
// and the server-sent events of a generation.
package engineapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/declaration"
)

// maxLoadBytes is the largest size of a load report in bytes.
const maxLoadBytes = 64 << 10

// Load is an engine's answer to GET /load.
type Load struct {
	Model          string   `json:"model"`
	ModelVersion   string   `json:"model-version"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	Leaving        bool     `json:"leaving"`
	Running        int      `json:"running"`
	Waiting        int      `json:"waiting"`
	UsedTokens     int      `json:"used-tokens"`
	CapacityTokens int      `json:"capacity-tokens"`
	Preemptions    int      `json:"preemptions"`
}

// Loaded reports whether the engine has the declared model, version and adapters.
func (l *Load) Loaded(t *declaration.Target) bool {
	return l.Model == t.Model() && l.ModelVersion == t.ModelVersion() && slices.Equal(l.Adapters, t.Adapters())
}

// Loading reports whether the engine has no model loaded, for example while it
// changes models.
func (l *Load) Loading() bool { return l.Model == "" }

// ReadLoad reads the load report of the engine at an address.
func ReadLoad(ctx context.Context, client *http.Client, address string) (*Load, error) {
	out := &Load{}
	if err := GetJSON(ctx, client, "http://"+address+"/load", maxLoadBytes, out); err != nil {
		return nil, err
	}
	return out, nil
}

// GetJSON reads a JSON document of at most limit bytes into to. It returns an error if
// the request fails, the status is not 200, or the document is malformed or too long.
func GetJSON(ctx context.Context, client *http.Client, url string, limit int64, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, response.Body, limit)).Decode(out)
}
