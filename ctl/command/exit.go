package command

import (
	"errors"
	"fmt"

	"briarwell.dev/core/object"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/settings"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// Exit codes of the commands.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailure reports an error for which there is no other code.
	ExitFailure = 1
	// ExitInvalidInput reports invalid flags, files or names.
	ExitInvalidInput = 2
	// ExitConflict reports that another edit was stored after the expected version.
	ExitConflict = 3
	// ExitPending reports an edit that is stored but not accepted yet.
	ExitPending = 4
	// ExitOutage reports that the platform or the requested daemon did not respond.
	ExitOutage = 5
)

// InputError reports invalid flags, files or names.
type InputError struct {
	message string
}

func newInputError(format string, args ...any) *InputError {
	return &InputError{message: fmt.Sprintf(format, args...)}
}

func (e *InputError) Error() string { return e.message }

// PendingError reports an edit that is stored, but was not accepted before the
// wait ended.
type PendingError struct {
	version uint64
	cause   string
}

// Version returns the pending version.
func (e *PendingError) Version() uint64 { return e.version }

func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is stored, but acceptance is pending: %s. The daemons put it in force without this command; repeat apply to wait for acceptance.", e.version, e.cause)
}

// exitCode returns the exit code for the error of a command; nil gives ExitOK.
func exitCode(err error) int {
	var (
		conflict       *rollout.ConflictError
		pending        *PendingError
		tableOutage    *table.OutageError
		unknownOutcome *rollout.UnknownOutcomeError
		noResponse     *NoResponseError
		storeOutage    *object.OutageError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &tableOutage), errors.As(err, &unknownOutcome), errors.As(err, &noResponse), errors.As(err, &storeOutage):
		return ExitOutage
	case isInputError(err):
		return ExitInvalidInput
	default:
		return ExitFailure
	}
}

func isInputError(err error) bool {
	var (
		input        *InputError
		validation   *settings.ValidationError
		render       *template.RenderError
		shardCount   *rollout.ShardCountError
		duplicate    *rollout.DuplicateDocumentError
		missingStore *rollout.MissingObjectStoreError
	)
	return errors.As(err, &input) || errors.As(err, &validation) || errors.As(err, &render) ||
		errors.As(err, &shardCount) || errors.As(err, &duplicate) || errors.As(err, &missingStore)
}
