package command

import (
	"briarwell.dev/core/object"
	"briarwell.dev/core/object/httpobject"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
)

// connectHTTP returns HTTP clients of the platform. Their transactions carry no
// token row: the commands themselves determine the outcome of a transaction
// whose response was lost.
func connectHTTP(tableURL, objectURL string) (table.Table, object.Store, error) {
	client, err := httptable.New(tableURL)
	if err != nil {
		return nil, nil, newInputError("--table: %v", err)
	}
	if objectURL == "" {
		return client, nil, nil
	}
	store, err := httpobject.New(objectURL)
	if err != nil {
		return nil, nil, newInputError("--objects: %v", err)
	}
	return client, store, nil
}
