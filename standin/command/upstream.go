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

// idleTimeBeforeStop is how long an upstream that leaves has had no order before
// it stops, so that orders already under way to it still arrive.
const idleTimeBeforeStop = 500 * time.Millisecond

// maxControlConnections are accepted beyond --connections, for grants, load
// reports and tests, as fasthttp answers 503 to a connection over its bound.
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
	command := flaggy.NewSubcommand("upstream")
	command.Description = "an upstream server"
	s := &p.settings
	command.String(&s.Address, "", "address", "IP:PORT to listen on")
	command.String(&s.DaemonURL, "", "daemon", "URL of the daemon's local address; none if empty")
	command.String(&p.service, "", "service", "ORGANISATION/SERVICE")
	command.String(&s.Name, "", "name", "name in the acceptance log; the address if empty")
	command.Int(&s.Slots, "", "slots", "orders at a time")
	command.Int(&s.MaxConnections, "", "connections", "connections at a time")
	command.String(&p.fencing, "", "fencing", "epoch, deadline or none")
	command.Bool(&s.Unkeyed, "", "unkeyed", "the service has no keys")
	command.Duration(&s.ServiceTime, "", "service-time", "mean service time")
	command.String(&p.distribution, "", "distribution", "fixed or exponential service times")
	command.UInt64(&s.Seed, "", "seed", "seed of the service times")
	command.Duration(&s.ColdStart, "", "cold-start", "time with longer service times after the start")
	command.String(&s.AcceptanceLog, "", "acceptance-log", "file to which accepted orders are appended")
	command.String(&p.loadReport, "", "load-report", "honest, lag or mislead")
	command.Duration(&s.LoadLag, "", "load-lag", "age of the reports of --load-report lag")
	command.Duration(&s.StopTimeout, "", "stop-timeout", "longest time of a graceful stop")
	return command
}

func (p *upstreamProgram) validate() []string {
	s := &p.settings
	found := validateAddress("address", s.Address)
	organisation, name, ok := strings.Cut(p.service, "/")
	if !ok || organisation == "" || name == "" || strings.Contains(name, "/") {
		found = append(found, fmt.Sprintf("--service: found %q, allowed ORGANISATION/SERVICE", p.service))
	}
	s.Service = identity.NewService(organisation, name)
	if s.DaemonURL != "" {
		parsed, err := url.Parse(s.DaemonURL)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			found = append(found, fmt.Sprintf("--daemon: found %q, allowed http://IP:PORT", s.DaemonURL))
		}
		s.DaemonURL = strings.TrimSuffix(s.DaemonURL, "/")
	}
	if s.Name == "" {
		s.Name = s.Address
	}
	found = append(found, validateMinimum("slots", s.Slots, 1)...)
	found = append(found, validateMinimum("connections", s.MaxConnections, 1)...)
	for flag, length := range map[string]time.Duration{
		"service-time": s.ServiceTime, "cold-start": s.ColdStart, "load-lag": s.LoadLag, "stop-timeout": s.StopTimeout,
	} {
		if length < 0 {
			found = append(found, fmt.Sprintf("--%s: found %v, allowed 0s or more", flag, length))
		}
	}
	found = append(found, validateOneOf("fencing", p.fencing, "epoch", "deadline", "none")...)
	found = append(found, validateOneOf("distribution", p.distribution, "fixed", "exponential")...)
	found = append(found, validateOneOf("load-report", p.loadReport, "honest", "lag", "mislead")...)
	s.Fencing = upstream.Fencing(p.fencing)
	s.Distribution = upstreamserver.Distribution(p.distribution)
	s.LoadReport = upstreamserver.LoadReportMode(p.loadReport)
	return found
}

func validateMinimum(flag string, value, minimum int) []string {
	if value >= minimum {
		return nil
	}
	return []string{fmt.Sprintf("--%s: found %d, allowed %d or more", flag, value, minimum)}
}

func validateOneOf(flag, value string, allowed ...string) []string {
	for _, candidate := range allowed {
		if value == candidate {
			return nil
		}
	}
	return []string{fmt.Sprintf("--%s: found %q, allowed %s", flag, value, strings.Join(allowed, ", "))}
}

// run serves until ctx ends. It then tells the daemon, and goes on serving
// until the daemon has stopped sending orders.
func (p *upstreamProgram) run(ctx context.Context, logger *log.Logger) error {
	listener, err := server.Listen(p.settings.Address)
	if err != nil {
		return err
	}
	p.settings.Address = listener.Addr().String()
	logic, err := upstreamserver.New(p.settings)
	if err != nil {
		return err
	}
	defer func() { _ = logic.Close() }()
	logger.Info().Str("program", "upstream").Str("address", p.settings.Address).Str("service", p.service).Msg("listening")
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks.Go(func() { logic.Announce(ctx, logger) })
	tasks.Go(func() {
		defer stopServing()
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.Background(), p.settings.StopTimeout)
		defer cancel()
		if err := logic.Drain(limit, idleTimeBeforeStop); err != nil {
			logger.Warn().Str("event", "drain").Err(err).Msg("daemon not told")
		}
	})
	http := server.New(logic.Handle)
	http.StreamRequestBody = true
	http.Concurrency = p.settings.MaxConnections + maxControlConnections
	return server.Serve(serving, listener, http)
}
