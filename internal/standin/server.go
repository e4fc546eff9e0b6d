package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/httpadapter"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 16 << 20
	maxReadWait       = 30 * time.Second
)

// PathLedger serves the ledger as JSON.
const PathLedger = "/ledger"

// Options are the stand-in's fixed parameters.
type Options struct {
	// Listen is the IP and port of the log and host list.
	Listen string
	// WorkerBase is the IP and port of the first worker; each further worker takes the
	// next port.
	WorkerBase string
	Workers    []core.Worker
	// EntryHosts are listed beside the workers.
	EntryHosts []platform.Host
}

// Server is the stand-in platform.
type Server struct {
	opts    Options
	log     *logStore
	ledger  *ledger
	workers []*worker
	hosts   []platform.Host
}

// New returns a stand-in that does not serve yet.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, log: newLogStore(), ledger: newLedger(), hosts: opts.EntryHosts}
	ip, portText, err := net.SplitHostPort(opts.WorkerBase)
	if err != nil {
		return nil, trace.BadParameter("worker base: %v", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, trace.BadParameter("worker base: %v", err)
	}
	for i, def := range opts.Workers {
		s.workers = append(s.workers, newWorker(def, s.ledger))
		addr := net.JoinHostPort(ip, strconv.Itoa(port+i))
		s.hosts = append(s.hosts, platform.Host{ID: string(def.ID), Kind: platform.BackendHost, Zone: def.Zone, Addr: addr, State: platform.HostLive})
	}
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	serve := func(addr string, h http.Handler) { group.Go(func() error { return serveHTTP(ctx, addr, h) }) }
	serve(s.opts.Listen, s.platformHandler())
	first := len(s.hosts) - len(s.workers)
	for i, w := range s.workers {
		serve(s.hosts[first+i].Addr, workerHandler(w))
	}
	return trace.Wrap(group.Wait())
}

func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func (s *Server) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpadapter.PathLog+"{stream}", s.serveAppend)
	mux.HandleFunc("GET "+httpadapter.PathLog+"{stream}", s.serveRead)
	mux.HandleFunc("GET "+httpadapter.PathHosts, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.hosts) })
	mux.HandleFunc("GET "+PathLedger, func(w http.ResponseWriter, _ *http.Request) { reply(w, s.ledger.all()) })
	return mux
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req httpadapter.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	first := s.log.append(platform.Stream(r.PathValue("stream")), req.Records)
	reply(w, httpadapter.AppendReply{First: first})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(q.Get("limit"))
	waitMS, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	page, err := s.log.read(r.Context(), platform.Stream(r.PathValue("stream")), platform.Offset(from), limit, wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		w.WriteHeader(http.StatusGone)
		reply(w, httpadapter.TrimmedReply{Oldest: trimmed.Oldest})
		return
	}
	reply(w, page)
}

func workerHandler(wk *worker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpadapter.PathDo, func(w http.ResponseWriter, r *http.Request) {
		var b platform.Batch
		if readJSON(w, r, &b) {
			reply(w, wk.do(b))
		}
	})
	mux.HandleFunc("POST "+httpadapter.PathRenew, func(w http.ResponseWriter, r *http.Request) {
		var req platform.RenewRequest
		if readJSON(w, r, &req) {
			reply(w, wk.renew(r.Context(), req))
		}
	})
	return mux
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(out)
	if err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
