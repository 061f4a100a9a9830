package command

import (
	"fmt"

	"briarwell.dev/core/rollout"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
)

// StoreError reports that the object store gave no answer.
type StoreError struct {
	operation string
	cause     error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("object store gave no answer to %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.cause }

// connectHTTP opens the platform over HTTP.
func connectHTTP(tableURL, _ string) (table.Table, rollout.Store, error) {
	client, err := httptable.New(tableURL)
	if err != nil {
		return nil, nil, newInputError("--table: %v", err)
	}
	return client, nil, nil
}
