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

// Exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means an error of another kind.
	ExitFailure = 1
	// ExitInvalidInput means bad input: flags, files or names.
	ExitInvalidInput = 2
	// ExitConflict means that another operator's edit came first.
	ExitConflict = 3
	// ExitPending means that the edit is stored but not accepted yet.
	ExitPending = 4
	// ExitOutage means that the platform, or the daemon that was asked, gave no
	// answer.
	ExitOutage = 5
)

// InputError reports bad input.
type InputError struct {
	message string
}

func newInputError(format string, arguments ...any) *InputError {
	return &InputError{message: fmt.Sprintf(format, arguments...)}
}

func (e *InputError) Error() string { return e.message }

// PendingError reports an edit that is stored but was not accepted in time.
type PendingError struct {
	version uint64
	cause   string
}

// Version returns the version that is pending.
func (e *PendingError) Version() uint64 { return e.version }

func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is stored and stays pending: %s. It is put in force without this command; repeat apply to see when it is accepted.", e.version, e.cause)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var (
		conflict  *rollout.ConflictError
		pending   *PendingError
		outage    *table.OutageError
		uncertain *rollout.UnknownOutcomeError
		silent    *NoResponseError
		store     *object.OutageError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &pending):
		return ExitPending
	case errors.As(err, &outage), errors.As(err, &uncertain), errors.As(err, &silent), errors.As(err, &store):
		return ExitOutage
	case isInputError(err):
		return ExitInvalidInput
	default:
		return ExitFailure
	}
}

func isInputError(err error) bool {
	var (
		input     *InputError
		list      *settings.ValidationError
		render    *template.RenderError
		shards    *rollout.ShardCountError
		duplicate *rollout.DuplicateDocumentError
		missing   *rollout.MissingObjectStoreError
	)
	return errors.As(err, &input) || errors.As(err, &list) || errors.As(err, &render) ||
		errors.As(err, &shards) || errors.As(err, &duplicate) || errors.As(err, &missing)
}
