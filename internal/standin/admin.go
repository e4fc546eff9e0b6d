package standin

import (
	"net/http"
	"strconv"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// PathAdmin is the root path of the admin interface, which sets faults, edits the host
// list and restarts workers.
const PathAdmin = "/admin"

// PathLedger serves the ledger entries with numbers above the query parameter "after".
const PathLedger = "/ledger"

// Paths under PathAdmin.
const (
	PathLogFaults      = PathAdmin + "/log"
	PathHostListFaults = PathAdmin + "/hostlist"
	PathListedHosts    = PathAdmin + "/hosts/"
	PathWorkers        = PathAdmin + "/workers/"
	restartSuffix      = "/restart"
)

// WorkerStatus is a worker's state and its counters.
type WorkerStatus struct {
	Faults      WorkerFaults        `json:"faults"`
	Holder      platform.Holder     `json:"holder"`
	Tasks       []platform.HeldTask `json:"tasks"`
	Incarnation uint64              `json:"boot"`
	// Reports is the number of queued reports.
	Reports int `json:"reports"`
	// Conns counts the open connections, HighestConns is their maximum so far, and
	// RefusedConns counts those closed because of the limit.
	Conns        int64 `json:"conns"`
	HighestConns int64 `json:"highest_conns"`
	RefusedConns int64 `json:"refused_conns"`
}

func (w *worker) status() WorkerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := WorkerStatus{
		Faults: w.faults, Holder: w.holder, Incarnation: w.incarnation, Reports: len(w.reports),
		Conns: w.conns.open.Load(), HighestConns: w.conns.highest.Load(), RefusedConns: w.conns.refused.Load(),
	}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.HeldTask)
	}
	return s
}

func (s *Server) addAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathLedger, s.serveLedger)
	mux.HandleFunc("GET "+PathLogFaults, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.log.currentStatus()) })
	mux.HandleFunc("PUT "+PathLogFaults, setter(s.log.setFaults))
	mux.HandleFunc("PUT "+PathHostListFaults, setter(s.hosts.setFaults))
	mux.HandleFunc("PUT "+PathListedHosts+"{id}", func(w http.ResponseWriter, r *http.Request) {
		setter(func(h platform.Host) {
			h.ID = r.PathValue("id")
			s.hosts.put(h)
		})(w, r)
	})
	mux.HandleFunc("DELETE "+PathListedHosts+"{id}", func(_ http.ResponseWriter, r *http.Request) { s.hosts.remove(r.PathValue("id")) })
	mux.HandleFunc("GET "+PathWorkers+"{id}", s.withWorker(func(w http.ResponseWriter, _ *http.Request, wk *worker) { reply(w, wk.status()) }))
	mux.HandleFunc("PUT "+PathWorkers+"{id}", s.withWorker(func(w http.ResponseWriter, r *http.Request, wk *worker) { setter(wk.setFaults)(w, r) }))
	mux.HandleFunc("POST "+PathWorkers+"{id}"+restartSuffix, s.withWorker(func(_ http.ResponseWriter, _ *http.Request, wk *worker) { wk.restart() }))
}

// setter returns a handler that decodes the request body and passes it to set.
func setter[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if readJSON(w, r, &body) {
			set(body)
		}
	}
}

// withWorker returns a handler that passes the worker named in the path to h, or answers with
// status 404 if there is none.
func (s *Server) withWorker(h func(http.ResponseWriter, *http.Request, *worker)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wk, ok := s.workers[core.WorkerID(r.PathValue("id"))]
		if !ok {
			http.Error(w, "the worker does not exist", http.StatusNotFound)
			return
		}
		h(w, r, wk)
	}
}

func (s *Server) serveLedger(w http.ResponseWriter, r *http.Request) {
	after := 0
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.Atoi(text); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	reply(w, s.ledger.after(after))
}
