package serve

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes an answer with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes an answer with a status and a JSON body that contains the error message.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, struct{ Error string }{err.Error()})
}
