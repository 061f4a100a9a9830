package app

import (
	"errors"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/era"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/retryafter"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/callerhttp"
	"briarwell.dev/platform/manifest"
)

// applyManifest replaces the current manifest with the encoded one if that is valid and
// newer. It logs the error. The caller holds a.applyMu.
func (a *App) applyManifest(value []byte) error {
	m, problems, err := a.manifestDecoder.Decode(value)
	if err != nil {
		a.log.Error().Err(err).Msg("manifestRejected")
		return err
	}
	for {
		old := a.manifest.Load()
		if m.Version() <= old.Version() {
			return nil
		}
		if a.manifest.CompareAndSwap(old, m) {
			a.applyColdSettings()
			a.log.Info().Uint64("version", m.Version()).Uint64("before", old.Version()).Int("problems", len(problems)).
				Str("ownerRegions", strings.Join(m.OwnerRegions(a.settings.Service()), ",")).Msg("manifestInForce")
			a.reportManifestProblems(m.Version(), problems)
			return nil
		}
	}
}

// maxManifestProblemLines bounds the log lines about one manifest.
const maxManifestProblemLines = 20

// reportManifestProblems counts and logs the parts of a manifest that this build does not
// understand.
func (a *App) reportManifestProblems(version uint64, problems []*manifest.Error) {
	a.telemetry.scope.Counter("manifest_problems").Inc(int64(len(problems)))
	for _, problem := range problems[:min(len(problems), maxManifestProblemLines)] {
		a.log.Warn().Err(problem).Uint64("version", version).Str("field", problem.Field()).Msg("manifestPartNotUnderstood")
	}
}

// recordManifestHeld records the revision of the manifest row in use.
func (s *state) recordManifestHeld(revision era.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest.RecordHeld(revision)
}

// observeManifest records the newest revision of the manifest row that existed at a time.
func (s *state) observeManifest(at clock.Millis, revision era.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest.RecordObservation(at, revision)
}

// manifestObservation returns the newest revision of the manifest row that is known to exist, and
// the age of that knowledge in milliseconds, nil if there is none.
func (s *state) manifestObservation(now clock.Millis) (era.Revision, *clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, age, ok := s.manifest.Observation(now)
	if !ok {
		return era.Revision{}, nil
	}
	return revision, &age
}

// manifestIsCurrent reports whether the manifest in use is the newest of those that must be in
// force.
func (a *App) manifestIsCurrent() bool {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest.IsCurrent(a.clock.Now(), a.settings.ManifestWithin())
}

// isDenied reports whether the manifest says that the request is at fault: it has no route, or a key
// that is none.
func isDenied(result dispatch.Result) bool {
	return !result.RouteFound || outcome.ReasonOf(result.Outcome) == outcome.ReasonInvalidKey
}

// withUnknownRoute returns the result of a request, with a refusal in place of a missing route or
// an invalid key if a newer manifest may have the route, or send its requests to a service without
// keys.
func (a *App) withUnknownRoute(request *dispatch.Request, result dispatch.Result) dispatch.Result {
	if !isDenied(result) {
		return result
	}
	if !a.manifestIsCurrent() {
		a.confirmManifest()
	}
	if a.manifestIsCurrent() {
		return result
	}
	after := retryafter.Spread(request.Deadline-a.clock.Now(), request.ID)
	result.Reply, result.RouteFound = dispatch.NotRun(outcome.ReasonConfigurationLags).WithRetryAfter(after), true
	return result
}

// withLaggingLimits returns the error of a request that was not read, with a refusal in place of a
// rejection by the limits of the applied manifest if a newer one may allow more.
func (a *App) withLaggingLimits(request *dispatch.Request, applied *routes.Manifest, err error) error {
	var rejected *callerhttp.Error
	// A newer manifest may have come into force while the body was read.
	if !errors.As(err, &rejected) || !rejected.ByLimits() {
		return err
	}
	if !a.manifestIsCurrent() {
		a.confirmManifest()
	}
	if a.manifestIsCurrent() && a.manifest.Load() == applied {
		return err
	}
	return rejected.RefusedForLag(retryafter.Spread(request.Deadline-a.clock.Now(), request.ID))
}
