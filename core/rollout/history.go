package rollout

import (
	"context"
	"encoding/json"

	"briarwell.dev/core/object"
	"briarwell.dev/core/table"
)

// maxInlineBytes limits the document bodies in a history row. Longer ones are kept
// in the object store, so that a row has a few KB at most.
const maxInlineBytes = 2048

// bodyRefJSON refers to a document body in a history row.
type bodyRefJSON struct {
	Digest object.Digest `json:"digest"`
	// Inline is the body itself; absent if it is in the object store.
	Inline json.RawMessage `json:"inline,omitempty"`
}

type rowChangeJSON struct {
	Key    string       `json:"key"`
	Before *bodyRefJSON `json:"before,omitempty"`
	After  *bodyRefJSON `json:"after,omitempty"`
}

type historyJSON struct {
	versionInfoJSON
	Changes []rowChangeJSON `json:"changes"`
}

// HistoryEntry is the record of one edit.
type HistoryEntry struct {
	info    VersionInfo
	changes []RowChange
}

// VersionInfo returns the version of the edit, its author and its time.
func (h HistoryEntry) VersionInfo() VersionInfo { return h.info }

// Changes returns the changed rows; callers must not modify them.
func (h HistoryEntry) Changes() []RowChange { return h.changes }

// RowChange is the change of one template or organisation row.
type RowChange struct {
	key    string
	before *bodyRefJSON
	after  *bodyRefJSON
}

// Key returns the key of the row.
func (c RowChange) Key() string { return c.key }

// BeforeDigest returns the digest of the previous body, "" if there was none.
func (c RowChange) BeforeDigest() object.Digest { return c.before.digest() }

// AfterDigest returns the digest of the new body.
func (c RowChange) AfterDigest() object.Digest { return c.after.digest() }

func (b *bodyRefJSON) digest() object.Digest {
	if b == nil {
		return ""
	}
	return b.Digest
}

// Bodies returns the previous body, nil if there was none, and the new one. The
// store may be nil if both bodies are in the history row.
func (c RowChange) Bodies(ctx context.Context, store object.Store) (before, after []byte, err error) {
	if before, err = c.before.loadBody(ctx, store); err != nil {
		return nil, nil, err
	}
	after, err = c.after.loadBody(ctx, store)
	return before, after, err
}

func (b *bodyRefJSON) loadBody(ctx context.Context, store object.Store) ([]byte, error) {
	if b == nil || b.Inline != nil {
		return b.inlineBody(), nil
	}
	if store == nil {
		return nil, NewMissingObjectStoreError(0)
	}
	return store.Get(ctx, b.Digest)
}

func (b *bodyRefJSON) inlineBody() []byte {
	if b == nil {
		return nil
	}
	return b.Inline
}

// encodeHistory writes the long bodies to the object store and returns the value of
// the plan's history row.
func (p Plan) encodeHistory(ctx context.Context, store object.Store) ([]byte, error) {
	record := historyJSON{versionInfoJSON: p.info.encode()}
	for _, change := range p.documentChanges {
		before, err := storeBody(ctx, store, change.before)
		if err != nil {
			return nil, err
		}
		after, err := storeBody(ctx, store, change.after)
		if err != nil {
			return nil, err
		}
		record.Changes = append(record.Changes, rowChangeJSON{Key: change.key, Before: before, After: after})
	}
	return json.Marshal(record)
}

// storeBody returns the reference to a body, nil if the body is nil. It writes a body
// that is too long for a history row to the object store.
func storeBody(ctx context.Context, store object.Store, body []byte) (*bodyRefJSON, error) {
	if body == nil {
		return nil, nil
	}
	if len(body) <= maxInlineBytes {
		return &bodyRefJSON{Digest: object.DigestOf(body), Inline: body}, nil
	}
	if store == nil {
		return nil, NewMissingObjectStoreError(len(body))
	}
	digest, err := store.Put(ctx, body)
	if err != nil {
		return nil, err
	}
	return &bodyRefJSON{Digest: digest}, nil
}

func decodeHistory(row table.Row) (HistoryEntry, error) {
	var record historyJSON
	if err := json.Unmarshal(row.Value(), &record); err != nil {
		return HistoryEntry{}, NewRowError(row.Key(), err)
	}
	entry := HistoryEntry{info: record.decode()}
	for _, change := range record.Changes {
		entry.changes = append(entry.changes, RowChange{key: change.Key, before: change.Before, after: change.After})
	}
	return entry, nil
}

// ReadHistory reads the last count edits, newest first.
func ReadHistory(ctx context.Context, source table.Table, count int) ([]HistoryEntry, error) {
	rows, err := source.Read(ctx, []string{KeyHead})
	if err != nil {
		return nil, err
	}
	var stored snapshot
	if rows[0].Version() == 0 {
		return nil, nil
	}
	if err := stored.addHead(rows[0]); err != nil {
		return nil, err
	}
	keys := make([]string, 0, count)
	for version := stored.head.version; version > 0 && len(keys) < count; version-- {
		keys = append(keys, HistoryKey(version))
	}
	if rows, err = source.Read(ctx, keys); err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for _, row := range rows {
		if row.Version() == 0 {
			continue
		}
		entry, err := decodeHistory(row)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
