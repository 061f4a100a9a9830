package router

import (
	"errors"
	"net/http"

	"briarwell.dev/core/outcome"
)

// HTTPStatus returns the HTTP status for a NotRun or Unknown outcome. It returns 200 for
// Done, for which the status of the upstream applies.
func HTTPStatus(o outcome.Outcome) int {
	switch o := o.(type) {
	case outcome.NotRun:
		return notRunStatus(o.Reason())
	case outcome.Unknown:
		if o.Reason() == outcome.ReasonOlderEpoch {
			return http.StatusConflict
		}
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

func notRunStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonMalformed:
		return http.StatusBadRequest
	case outcome.ReasonUnknownService:
		return http.StatusNotFound
	case outcome.ReasonOverloaded, outcome.ReasonQueueTimeout, outcome.ReasonUpstreamRefused:
		return http.StatusTooManyRequests
	case outcome.ReasonStampRequired:
		return http.StatusPreconditionRequired
	default:
		return http.StatusServiceUnavailable
	}
}

// parseErrorOutcome returns the outcome of a request for which Parse returned err by the catalog of
// the version, 0 if no catalog is known yet.
func parseErrorOutcome(err error, version uint64) outcome.Outcome {
	var unknown *UnknownServiceError
	if errors.As(err, &unknown) {
		if version == 0 {
			return outcome.NewNotRun(outcome.ReasonConfigurationLags)
		}
		return outcome.NewNotRun(outcome.ReasonUnknownService)
	}
	return outcome.NewNotRun(outcome.ReasonMalformed)
}

// ParseOutcome returns the outcome for the values of the outcome and reason headers of a
// response. It returns false if the outcome is not known.
func ParseOutcome(name, reason string) (outcome.Outcome, bool) {
	switch name {
	case "done":
		return outcome.Done{}, true
	case "not-run":
		return outcome.NewNotRun(outcome.Reason(reason)), true
	case "unknown":
		return outcome.NewUnknown(outcome.Reason(reason)), true
	default:
		return nil, false
	}
}
