package relay

import (
	"encoding/json"
	"net/http"
)

// ControlHandler serves PUT /lab/relays/{name}, which sets the faults of a relay to
// the Faults in the JSON body.
func ControlHandler(relays map[string]*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /lab/relays/{name}", func(w http.ResponseWriter, req *http.Request) {
		r, ok := relays[req.PathValue("name")]
		if !ok {
			http.NotFound(w, req)

			return
		}
		var f Faults
		if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		r.Set(f)
	})

	return mux
}
