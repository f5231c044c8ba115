package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	roleServe   = "serve"
	roleStandby = "standby"
)

// EngineState is the part of an engine's state that orders and faults change.
type EngineState struct {
	Model        string
	ModelVersion string
	Adapters     []string
	Role         string
	Leaving      bool
	Fence        uint64
	Loading      bool

	reportedAt       time.Time
	cacheEventNumber int
}

// Order is the body of POST /orders.
type Order struct {
	Fence        uint64   `json:"fence"`
	Kind         string   `json:"kind"` // "load" or "role"
	Model        string   `json:"model,omitempty"`
	ModelVersion string   `json:"model-version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// order carries out an order. An engine that checks fencing numbers refuses an
// order whose number is not higher than the last. An order to load a model cancels
// all generations.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in Order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, http.StatusBadRequest, "malformed-json")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && in.Fence <= e.state.Fence {
		writeError(w, http.StatusConflict, "old-fence")
		return
	}
	e.state.Fence = max(e.state.Fence, in.Fence)
	switch in.Kind {
	case "role":
		e.state.Role = in.Role
	case "load":
		e.startLoad(in)
	default:
		writeError(w, http.StatusBadRequest, "unknown-order")
		return
	}
	e.state.reportedAt = time.Time{}
	w.WriteHeader(http.StatusAccepted)
}

// startLoad unloads the model at once and loads the new one when the weight store
// has delivered it. It is called with the lock held.
func (e *Engine) startLoad(in Order) {
	for id := range e.generations {
		e.core.Cancel(id)
	}
	e.state.Model, e.state.ModelVersion, e.state.Adapters = "", "", nil
	wait := e.store.Reserve()
	time.AfterFunc(time.Duration(float64(wait)/e.config.Speed), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.Model, e.state.ModelVersion, e.state.Adapters = in.Model, in.ModelVersion, in.Adapters
		e.state.reportedAt = time.Time{}
	})
}
