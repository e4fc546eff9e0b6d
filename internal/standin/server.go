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

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/httpadapter"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 16 << 20
	maxReadWait       = 30 * time.Second
)

// Options are the stand-in's fixed parameters and its initial faults.
type Options struct {
	// Listen is the IP and port of the log, the host list and the admin interface.
	Listen string
	// WorkerBase is the IP and port of the first worker; each further worker listens
	// on the next port.
	WorkerBase string
	Workers    []core.Worker
	// EntryHosts are in the host list in addition to the workers.
	EntryHosts     []platform.Host
	LogFaults      LogFaults
	HostListFaults HostListFaults
	WorkerFaults   WorkerFaults
}

// Server is the stand-in platform.
type Server struct {
	opts    Options
	log     *logService
	ledger  *ledger
	hosts   *hostList
	workers map[core.WorkerID]*worker
	addrs   map[core.WorkerID]string
}

// New returns a stand-in; Run serves it. New fails if WorkerBase has no numeric port.
func New(opts Options) (*Server, error) {
	ip, portText, err := net.SplitHostPort(opts.WorkerBase)
	if err != nil {
		return nil, trace.BadParameter("parse worker base address: %v", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, trace.BadParameter("parse port of worker base address: %v", err)
	}
	s := &Server{
		opts: opts, log: newLogService(opts.LogFaults), ledger: newLedger(),
		workers: map[core.WorkerID]*worker{}, addrs: map[core.WorkerID]string{},
	}
	hosts := append([]platform.Host(nil), opts.EntryHosts...)
	stored, gangs := newCheckpoints(), newRendezvous()
	for i, def := range opts.Workers {
		addr := net.JoinHostPort(ip, strconv.Itoa(port+i))
		s.workers[def.ID] = newWorker(def, opts.WorkerFaults, s.ledger, stored, gangs)
		s.addrs[def.ID] = addr
		hosts = append(hosts, platform.Host{ID: string(def.ID), Kind: platform.BackendHost, Zone: def.Zone, Addr: addr, State: platform.HostLive})
	}
	s.hosts = newHostList(hosts, opts.HostListFaults)
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	listener, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	group.Go(func() error { return serveHTTP(ctx, listener, s.platformHandler()) })
	for id, w := range s.workers {
		listener, err := net.Listen("tcp", s.addrs[id])
		if err != nil {
			return trace.Wrap(err)
		}
		limited := &limitedListener{Listener: listener, counter: &w.conns}
		group.Go(func() error { return serveHTTP(ctx, limited, workerHandler(w)) })
	}
	return trace.Wrap(group.Wait())
}

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func (s *Server) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpadapter.PathLog+"{stream}", s.serveAppend)
	mux.HandleFunc("GET "+httpadapter.PathLog+"{stream}", s.serveRead)
	mux.HandleFunc("GET "+httpadapter.PathHosts, s.serveHosts)
	s.addAdmin(mux)
	return mux
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req httpadapter.AppendRequest
	if !readJSON(w, r, &req) {
		return
	}
	first, code, lost := s.log.append(r.Context(), platform.Stream(r.PathValue("stream")), req.Records)
	if code != http.StatusOK {
		http.Error(w, http.StatusText(code), code)
		return
	}
	if lost {
		// The append has taken effect, but the connection is closed without an answer.
		panic(http.ErrAbortHandler)
	}
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
	if errkind.Is(err, errkind.LogUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		w.WriteHeader(http.StatusGone)
		reply(w, httpadapter.TrimmedReply{Oldest: trimmed.Oldest})
		return
	}
	// The only other error is that of an interrupted wait, which is answered with the empty page.
	reply(w, page)
}

// serveHosts answers with the host list and its ETag, or with status 304 when the reader
// already has that list.
func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, ok := s.hosts.visible()
	if !ok {
		http.Error(w, "the host list is unavailable", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
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

// readJSON decodes the request body into out. If that fails, it answers with status 400 and
// returns false.
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
