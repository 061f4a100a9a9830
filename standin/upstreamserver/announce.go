package upstreamserver

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/upstream/announce"
)

const (
	// announceRetryInterval is the time between announcements until one is accepted, and
	// between attempts to announce a drain.
	announceRetryInterval = 100 * time.Millisecond
	// announceInterval is the time between announcements after one was accepted. They are
	// repeated so that a restarted daemon learns of its upstream.
	announceInterval = time.Second
	// announceTimeout bounds one HTTP request to the daemon.
	announceTimeout = time.Second
	// maxDrainAttempts bounds the attempts to announce a drain to a daemon that does not
	// respond.
	maxDrainAttempts = 20
)

// Announce announces the upstream to its daemon repeatedly until ctx ends. It returns
// at once if there is no daemon.
func (s *Server) Announce(ctx context.Context, logger *log.Logger) {
	if s.settings.DaemonURL == "" {
		return
	}
	service := s.settings.Service
	message := announce.Announcement{
		Service:         service.Name(),
		Organisation:    service.Organisation(),
		Address:         s.settings.Address,
		Slots:           s.settings.Slots,
		Connections:     s.settings.MaxConnections,
		Fencing:         s.settings.Fencing,
		ColdStartMillis: s.settings.ColdStart.Milliseconds(),
	}
	lastResult := "none"
	for ctx.Err() == nil {
		s.gate.wait()
		interval, result := announceRetryInterval, "accepted"
		if err := s.postToDaemon(announce.PathAnnounce, message); err != nil {
			result = err.Error()
		} else {
			interval = announceInterval
		}
		// Only changes of the result are logged.
		if result != lastResult {
			logger.Info().Str("daemon", s.settings.DaemonURL).Str("result", result).Msg("announced")
			lastResult = result
		}
		sleep(ctx, interval)
	}
}

// AnnounceDrain sets the draining flag of the load report and tells the daemon, if there
// is one, that the upstream is shutting down.
func (s *Server) AnnounceDrain() error {
	s.draining.Store(true)
	if s.settings.DaemonURL == "" {
		return nil
	}
	service := s.settings.Service
	return s.postToDaemon(announce.PathDrain, announce.Drain{
		Service: service.Name(), Organisation: service.Organisation(), Address: s.settings.Address,
	})
}

// Drain announces the drain to the daemon, then waits until no grant has been active and
// no request has been in flight for idleTime, or until ctx ends. It returns the error of
// the last attempt to announce the drain, or nil if that attempt succeeded.
func (s *Server) Drain(ctx context.Context, idleTime time.Duration) error {
	err := s.AnnounceDrain()
	for attempts := 1; err != nil && attempts < maxDrainAttempts && sleep(ctx, announceRetryInterval); attempts++ {
		err = s.AnnounceDrain()
	}
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < idleTime {
		if s.inFlight.Load() > 0 || s.grants.isActive(time.Now().UnixMilli()) {
			idleSince = time.Now()
		}
		sleep(ctx, pollInterval)
	}
	return err
}

// postToDaemon sends message as JSON to the daemon. It returns an error for a status
// other than 2xx.
func (s *Server) postToDaemon(path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(s.settings.DaemonURL + path)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if status := resp.StatusCode(); status < 200 || status > 299 {
		return fmt.Errorf("daemon responded with status %d: %s", status, resp.Body())
	}
	return nil
}
