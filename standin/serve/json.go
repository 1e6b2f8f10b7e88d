package serve

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with a status and a message.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, struct{ Error string }{err.Error()})
}
