package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// registerControl registers the control paths for the faults of the log, of the instance list and of each caller, and for
// changing the instance list.
func (s *Service) registerControl(router chi.Router) {
	router.Post("/log/outage", controlOutage(&s.Log.Faults))
	router.Post("/log/delay", controlDelay(&s.Log.Faults))
	router.Post("/log/lost-answers", controlLostAnswers(&s.Log.Faults))
	router.Post("/log/retention", serve.ControlHandler(func(q *serve.Query) func() {
		retention := memory.Retention{Entries: q.Int("Entries"), Age: q.Duration("Age")}
		return func() { s.Log.SetRetention(retention) }
	}))
	router.Post("/log/append-rate", serve.ControlHandler(func(q *serve.Query) func() {
		perSecond := q.Int("PerSecond")
		return func() { s.Log.SetAppendRate(perSecond) }
	}))
	router.Post("/instance-list/outage", controlOutage(&s.Instances.Faults))
	router.Post("/instance-list/delay", controlDelay(&s.Instances.Faults))
	router.Post("/instance-list/lag", serve.ControlHandler(func(q *serve.Query) func() {
		lag := q.Duration("Duration")
		return func() { s.Instances.SetLag(lag) }
	}))
	router.Route("/callers/{caller}", s.callers.registerControl)
	router.Post("/instances", s.handleRegister)
	router.Post("/instances/{name}/leave", s.handleLeave)
	router.Delete("/instances/{name}", s.handleRemove)
}

// controlOutage returns a handler that starts or ends an outage. The parameter For starts one for a duration, On=true starts one
// without an end, and On=false ends it.
func controlOutage(faults *memory.Faults) http.HandlerFunc {
	return serve.ControlHandler(func(q *serve.Query) func() {
		on, duration := q.Bool("On"), q.Duration("For")
		if duration > 0 {
			return func() { faults.OutageFor(duration) }
		}
		return func() { faults.SetOutage(on) }
	})
}

func controlDelay(faults *memory.Faults) http.HandlerFunc {
	return serve.ControlHandler(func(q *serve.Query) func() {
		duration := q.Duration("Duration")
		return func() { faults.SetDelay(duration) }
	})
}

func controlLostAnswers(faults *memory.Faults) http.HandlerFunc {
	return serve.ControlHandler(func(q *serve.Query) func() {
		fraction, seed := q.Fraction("Fraction"), q.Unsigned("Seed")
		return func() { faults.LoseResponses(fraction, seed) }
	})
}

func (s *Service) handleRegister(w http.ResponseWriter, r *http.Request) {
	instance := platform.Instance{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&instance); err != nil {
		serve.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if instance.State == "" {
		instance.State = platform.Live
	}
	s.Instances.Register(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleLeave(w http.ResponseWriter, r *http.Request) {
	s.Instances.MarkLeaving(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleRemove(w http.ResponseWriter, r *http.Request) {
	s.Instances.Remove(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}
