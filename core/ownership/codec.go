package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// KeyPrefix is the prefix of the table keys of group rows.
const KeyPrefix = "shards/"

// Key returns the table key of the row of a group.
func Key(service identity.Service, group int) string {
	return KeyPrefix + service.String() + "/" + strconv.Itoa(group)
}

// IsKey reports whether key has the prefix of group rows.
func IsKey(key string) bool { return strings.HasPrefix(key, KeyPrefix) }

// ParseKey parses a key that Key returned into the service and the group number.
// It returns a *RowError for any other key.
func ParseKey(key string) (identity.Service, int, error) {
	parts := strings.Split(strings.TrimPrefix(key, KeyPrefix), "/")
	if !IsKey(key) || len(parts) != 3 {
		return identity.Service{}, 0, &RowError{key: key, cause: fmt.Errorf("key does not have the form shards/ORGANISATION/SERVICE/GROUP")}
	}
	group, err := strconv.ParseUint(parts[2], 10, 31)
	if err != nil {
		return identity.Service{}, 0, &RowError{key: key, cause: err}
	}
	return identity.NewService(parts[0], parts[1]), int(group), nil
}

type entryJSON struct {
	Owner  identity.Incarnation `json:"owner"`
	Epoch  identity.Epoch       `json:"epoch"`
	Lapsed bool                 `json:"lapsed,omitempty"`
}

type hotKeyEntryJSON struct {
	Shard shard.ID `json:"shard"`
	entryJSON
}

type groupJSON struct {
	Shards  []entryJSON                `json:"shards"`
	HotKeys map[string]hotKeyEntryJSON `json:"hotKeys,omitempty"`
}

func toJSON(e Entry) entryJSON { return entryJSON{Owner: e.owner, Epoch: e.epoch, Lapsed: e.lapsed} }

func (e entryJSON) entry() Entry { return NewEntry(e.Owner, e.Epoch, e.Lapsed) }

// Encode returns the value of the group's row, as JSON.
func Encode(g Group) []byte {
	row := groupJSON{Shards: make([]entryJSON, 0, len(g.shards))}
	for _, e := range g.shards {
		row.Shards = append(row.Shards, toJSON(e))
	}
	if len(g.hotKeys) > 0 {
		row.HotKeys = make(map[string]hotKeyEntryJSON, len(g.hotKeys))
	}
	for key, e := range g.hotKeys {
		row.HotKeys[key] = hotKeyEntryJSON{Shard: e.shard, entryJSON: toJSON(e.entry)}
	}
	value, err := json.Marshal(row)
	if err != nil {
		// A groupJSON holds only strings, integers and booleans, which always encode.
		panic(err)
	}
	return value
}

// Decode decodes the value of a group row. The parameter key is used only in the
// *RowError that it returns for an invalid value.
func Decode(key string, value []byte) (Group, error) {
	var row groupJSON
	if err := json.Unmarshal(value, &row); err != nil {
		return Group{}, &RowError{key: key, cause: err}
	}
	if len(row.Shards) > GroupSize {
		return Group{}, &RowError{key: key, cause: fmt.Errorf("row has %d shards, but a group has at most %d", len(row.Shards), GroupSize)}
	}
	group := Group{shards: make([]Entry, 0, len(row.Shards))}
	for _, e := range row.Shards {
		group.shards = append(group.shards, e.entry())
	}
	if len(row.HotKeys) > 0 {
		group.hotKeys = make(map[string]hotKeyEntry, len(row.HotKeys))
	}
	for hotKey, e := range row.HotKeys {
		group.hotKeys[hotKey] = hotKeyEntry{shard: e.Shard, entry: e.entry()}
	}
	return group, nil
}

// RowError reports a group row whose key or value can't be decoded.
type RowError struct {
	key   string
	cause error
}

// Key returns the key of the row.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Error() string { return fmt.Sprintf("decode group row %q: %v", e.key, e.cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.cause }
