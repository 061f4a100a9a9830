package router

import (
	"errors"
	"net/http"

	"briarwell.dev/core/outcome"
)

// HTTPStatus returns the HTTP status of a request that was not run or whose
// outcome is unknown. It returns 200 for Done, which has the upstream's own
// status.
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

// parseErrorOutcome returns the outcome of a request that Parse rejected.
func parseErrorOutcome(err error) outcome.Outcome {
	var unknown *UnknownServiceError
	if errors.As(err, &unknown) {
		return outcome.NewNotRun(outcome.ReasonUnknownService)
	}
	return outcome.NewNotRun(outcome.ReasonMalformed)
}

// ParseOutcome returns the outcome that an answer's headers carry, or false if
// their values are not known.
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
