package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// control registers the paths that switch faults. The log and the instance list have their own.
func (s *Service) control(router chi.Router) {
	router.Post("/log/outage", outage(&s.Log.Faults))
	router.Post("/log/delay", delay(&s.Log.Faults))
	router.Post("/log/lost-answers", lostAnswers(&s.Log.Faults))
	router.Post("/log/retention", serve.Control(func(q *serve.Query) func() {
		retention := memory.Retention{Entries: q.Int("Entries"), Age: q.Duration("Age")}
		return func() { s.Log.Retain(retention) }
	}))
	router.Post("/log/append-rate", serve.Control(func(q *serve.Query) func() {
		perSecond := q.Int("PerSecond")
		return func() { s.Log.SetAppendRate(perSecond) }
	}))
	router.Post("/instance-list/outage", outage(&s.Instances.Faults))
	router.Post("/instance-list/delay", delay(&s.Instances.Faults))
	router.Post("/instance-list/lag", serve.Control(func(q *serve.Query) func() {
		lag := q.Duration("Duration")
		return func() { s.Instances.SetLag(lag) }
	}))
	router.Route("/callers/{caller}", s.callers.control)
	router.Post("/instances", s.register)
	router.Post("/instances/{name}/leave", s.leave)
	router.Delete("/instances/{name}", s.remove)
}

// outage takes For, a duration, or On, true or false.
func outage(faults *memory.Faults) http.HandlerFunc {
	return serve.Control(func(q *serve.Query) func() {
		on, duration := q.Bool("On"), q.Duration("For")
		if duration > 0 {
			return func() { faults.OutageFor(duration) }
		}
		return func() { faults.SetOutage(on) }
	})
}

func delay(faults *memory.Faults) http.HandlerFunc {
	return serve.Control(func(q *serve.Query) func() {
		duration := q.Duration("Duration")
		return func() { faults.SetDelay(duration) }
	})
}

func lostAnswers(faults *memory.Faults) http.HandlerFunc {
	return serve.Control(func(q *serve.Query) func() {
		fraction, seed := q.Fraction("Fraction"), q.Unsigned("Seed")
		return func() { faults.LoseAnswers(fraction, seed) }
	})
}

func (s *Service) register(w http.ResponseWriter, r *http.Request) {
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

func (s *Service) leave(w http.ResponseWriter, r *http.Request) {
	s.Instances.Leave(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	s.Instances.Remove(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}
