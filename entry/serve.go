package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"gooseberrypin.example/gen/caller/v1/callerv1connect"
	fleetv1 "gooseberrypin.example/gen/fleet/v1"
	"gooseberrypin.example/gen/fleet/v1/fleetv1connect"
	"gooseberrypin.example/router/access"
	"gooseberrypin.example/router/adapter/fleet"
	"gooseberrypin.example/router/adapter/operator"
	"gooseberrypin.example/router/event"
	"gooseberrypin.example/router/port"
	"gooseberrypin.example/router/quarantine"
	"gooseberrypin.example/router/subscription"
)

const (
	drainPoll  = 50 * time.Millisecond
	drainQuiet = 300 * time.Millisecond
)

type (
	// state is the state dump of an entry.
	state struct {
		Process       operator.Process     `json:"process"`
		Configuration subscription.State   `json:"configuration"`
		Running       int                  `json:"running"`
		Ended         int                  `json:"ended"`
		Undelivered   int                  `json:"undelivered"`
		Held          map[string]int       `json:"held"`
		Relays        map[string]int       `json:"relays"`
		Suspects      []quarantine.Suspect `json:"suspects"`
		Loads         map[string]port.Load `json:"loads"`
	}
)

// listen opens all three addresses before anything is served.
func (e *Entry) listen() error {
	callers, err := listenTCP("caller_address", e.settings.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := listenTCP("fleet_address", e.settings.FleetAddress)
	if err != nil {
		return err
	}
	operators, err := listenTCP("operator_address", e.settings.OperatorAddress)
	if err != nil {
		return err
	}
	e.build(peers.Addr().String())
	e.serve(callers, e.callerHandler())
	e.serve(peers, e.fleetHandler())
	e.serve(operators, operator.NewHandler(e.settings.OperatorKeys, e.metrics, func() any { return e.state() }, e.Drain))
	e.log.Info(event.Listening, "caller_address", callers.Addr().String(),
		"fleet_address", peers.Addr().String(), "operator_address", operators.Addr().String())
	return nil
}

func (e *Entry) serve(l net.Listener, h http.Handler) {
	s := fleet.NewServer(h)
	e.servers = append(e.servers, s)
	go func() {
		if err := s.Serve(l); serveFailed(err) {
			e.log.Error(err, event.ServeFailed, "address", l.Addr().String())
		}
	}()
}

func (e *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewRouterHandler(&caller{entry: e}, connect.WithReadMaxBytes(MaxRequestBytes)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if e.draining.Load() || e.store.Current() == nil {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (e *Entry) fleetHandler() http.Handler {
	mux := http.NewServeMux()
	k := &keeper{entry: e}
	mux.Handle(fleetv1connect.NewKeeperHandler(k))
	keeping := fleetv1.NewKeepingServer(k)
	mux.Handle(keeping.PathPrefix(), keeping)
	peers := fleetv1.NewPeersServer(newPeers(e))
	mux.Handle(peers.PathPrefix(), peers)
	return access.NewKeys(e.settings.FleetKeys...).Require(mux)
}

// finishRequests waits until nothing runs and no answer waits for its caller.
func (e *Entry) finishRequests() {
	quiet := time.Now()
	for time.Since(quiet) < drainQuiet {
		time.Sleep(drainPoll)
		if running, _ := e.book.Counts(); running > 0 || e.calls.Load() > 0 || e.book.Undelivered() > 0 {
			quiet = time.Now()
		}
	}
}

func (e *Entry) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range e.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

func (e *Entry) state() state {
	active, ended := e.book.Counts()
	held := make(map[string]int)
	for _, address := range e.holdings.Addresses() {
		held[address] = len(e.holdings.Attempts(address))
	}
	return state{
		Process: operator.Process{
			Name:         e.settings.Name,
			Kind:         processKind,
			VM:           e.settings.VM,
			Region:       e.settings.Region,
			DataCentre:   e.settings.DataCentre,
			FleetAddress: e.address,
			Started:      e.started,
			Draining:     e.draining.Load(),
		},
		Configuration: e.reader.State(),
		Running:       active,
		Ended:         ended,
		Undelivered:   e.book.Undelivered(),
		Held:          held,
		Relays:        e.relays.table.ItemCounts(),
		Suspects:      e.crashes.table.Suspects(time.Now()),
		Loads:         e.route.Loads(),
	}
}
