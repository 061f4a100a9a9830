package command

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
	"briarwell.dev/standin/server"
	"briarwell.dev/standin/upstreamserver"
)

// idleTimeBeforeStop is the time without requests after which a draining upstream stops.
// Requests that are already on their way still arrive within it.
const idleTimeBeforeStop = 500 * time.Millisecond

// maxControlConnections is the number of connections accepted beyond --connections for
// grants, load reports and tests, as fasthttp responds with status 503 to a connection
// over its limit.
const maxControlConnections = 16

type upstreamProgram struct {
	settings     upstreamserver.Settings
	service      string
	fencing      string
	distribution string
	loadReport   string
}

func newUpstreamProgram() *upstreamProgram {
	return &upstreamProgram{
		fencing:      string(upstream.FencingEpoch),
		distribution: string(upstreamserver.DistributionFixed),
		loadReport:   string(upstreamserver.LoadReportHonest),
		settings: upstreamserver.Settings{
			Slots:          12,
			MaxConnections: 110,
			LoadLag:        2 * time.Second,
			StopTimeout:    10 * time.Second,
		},
	}
}

func (p *upstreamProgram) subcommand() *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand("upstream")
	subcommand.Description = "Runs an upstream server."
	s := &p.settings
	subcommand.String(&s.Address, "", "address", "IP:PORT to listen on.")
	subcommand.String(&s.DaemonURL, "", "daemon", "URL of the daemon's local address. Empty means no daemon.")
	subcommand.String(&p.service, "", "service", "ORGANISATION/SERVICE to serve.")
	subcommand.String(&s.Name, "", "name", "Name in the acceptance log. Empty means the address.")
	subcommand.Int(&s.Slots, "", "slots", "Maximum number of requests in flight.")
	subcommand.Int(&s.MaxConnections, "", "connections", "Maximum number of connections from the daemon.")
	subcommand.String(&p.fencing, "", "fencing", "Checks on requests: epoch, deadline or none.")
	subcommand.Bool(&s.Unkeyed, "", "unkeyed", "The service has no keys.")
	subcommand.Duration(&s.ServiceTime, "", "service-time", "Mean service time.")
	subcommand.String(&p.distribution, "", "distribution", "Distribution of service times: fixed or exponential.")
	subcommand.UInt64(&s.Seed, "", "seed", "Seed of the service times.")
	subcommand.Duration(&s.ColdStart, "", "cold-start", "Time after the start with longer service times.")
	subcommand.String(&s.AcceptanceLog, "", "acceptance-log", "File to which accepted requests are appended.")
	subcommand.String(&p.loadReport, "", "load-report", "Load to report: honest, lag or mislead.")
	subcommand.Duration(&s.LoadLag, "", "load-lag", "Age of the load reported by --load-report lag.")
	subcommand.Duration(&s.StopTimeout, "", "stop-timeout", "Longest time of a graceful shutdown.")
	return subcommand
}

func (p *upstreamProgram) validate() []string {
	s := &p.settings
	problems := validateAddress("address", s.Address)
	organisation, name, ok := strings.Cut(p.service, "/")
	if !ok || organisation == "" || name == "" || strings.Contains(name, "/") {
		problems = append(problems, fmt.Sprintf("--service: found %q, allowed ORGANISATION/SERVICE", p.service))
	}
	s.Service = identity.NewService(organisation, name)
	if s.DaemonURL != "" {
		parsed, err := url.Parse(s.DaemonURL)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			problems = append(problems, fmt.Sprintf("--daemon: found %q, allowed http://IP:PORT", s.DaemonURL))
		}
		s.DaemonURL = strings.TrimSuffix(s.DaemonURL, "/")
	}
	if s.Name == "" {
		s.Name = s.Address
	}
	problems = append(problems, validateMinimum("slots", s.Slots, 1)...)
	problems = append(problems, validateMinimum("connections", s.MaxConnections, 1)...)
	for flag, duration := range map[string]time.Duration{
		"service-time": s.ServiceTime, "cold-start": s.ColdStart, "load-lag": s.LoadLag, "stop-timeout": s.StopTimeout,
	} {
		if duration < 0 {
			problems = append(problems, fmt.Sprintf("--%s: found %v, allowed 0s or more", flag, duration))
		}
	}
	problems = append(problems, validateOneOf("fencing", p.fencing, "epoch", "deadline", "none")...)
	problems = append(problems, validateOneOf("distribution", p.distribution, "fixed", "exponential")...)
	problems = append(problems, validateOneOf("load-report", p.loadReport, "honest", "lag", "mislead")...)
	s.Fencing = upstream.Fencing(p.fencing)
	s.Distribution = upstreamserver.Distribution(p.distribution)
	s.LoadReport = upstreamserver.LoadReportMode(p.loadReport)
	return problems
}

// validateMinimum returns a problem if value, the value of flag, is less than minimum.
func validateMinimum(flag string, value, minimum int) []string {
	if value >= minimum {
		return nil
	}
	return []string{fmt.Sprintf("--%s: found %d, allowed %d or more", flag, value, minimum)}
}

// validateOneOf returns a problem if value, the value of flag, is not among allowed.
func validateOneOf(flag, value string, allowed ...string) []string {
	for _, candidate := range allowed {
		if value == candidate {
			return nil
		}
	}
	return []string{fmt.Sprintf("--%s: found %q, allowed %s", flag, value, strings.Join(allowed, ", "))}
}

// run serves until ctx ends. It then announces the drain to the daemon and continues to
// serve until the daemon has stopped sending requests or --stop-timeout has passed.
func (p *upstreamProgram) run(ctx context.Context, logger *log.Logger) error {
	listener, err := server.Listen(p.settings.Address)
	if err != nil {
		return err
	}
	p.settings.Address = listener.Addr().String()
	upstreamServer, err := upstreamserver.New(p.settings)
	if err != nil {
		return err
	}
	defer func() { _ = upstreamServer.Close() }()
	logger.Info().Str("program", "upstream").Str("address", p.settings.Address).Str("service", p.service).Msg("listening")
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks.Go(func() { upstreamServer.Announce(ctx, logger) })
	tasks.Go(func() {
		defer stopServing()
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), p.settings.StopTimeout)
		defer cancel()
		if err := upstreamServer.Drain(stopCtx, idleTimeBeforeStop); err != nil {
			logger.Warn().Str("event", "drain").Err(err).Msg("can't announce the drain to the daemon")
		}
	})
	httpServer := server.New(upstreamServer.Handle)
	httpServer.StreamRequestBody = true
	httpServer.Concurrency = p.settings.MaxConnections + maxControlConnections
	return server.Serve(serveCtx, listener, httpServer)
}
