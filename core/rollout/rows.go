// Package rollout stores configuration versions in the table, renders them for
// daemons, and follows a version until every member has it in force.
package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// Keys and key prefixes of the configuration rows.
const (
	// Prefix is the prefix of all configuration rows.
	Prefix = "config/"
	// KeyHead is the row with the newest version.
	KeyHead = Prefix + "head"
	// KeyAccepted is the row with the newest accepted version.
	KeyAccepted = Prefix + "accepted"
	// PrefixTemplate is the prefix of the rows of templates.
	PrefixTemplate = Prefix + "template/"
	// PrefixOrganisation is the prefix of the rows of organisations.
	PrefixOrganisation = Prefix + "organisation/"
	// PrefixHistory is the prefix of the rows of edits. Daemons copy none.
	PrefixHistory = Prefix + "history/"
)

// TemplateKey returns the key of the template for a kind of organisation.
func TemplateKey(kind string) string { return PrefixTemplate + kind }

// OrganisationKey returns the key of an organisation.
func OrganisationKey(name string) string { return PrefixOrganisation + name }

// HistoryKey returns the key of the edit that made a version.
func HistoryKey(version uint64) string {
	return PrefixHistory + strconv.FormatUint(version, 10)
}

// VersionInfo says who made a version and when.
type VersionInfo struct {
	version    uint64
	author     string
	unixMillis int64
	editID     string
}

// Version returns the configuration version, from 1; 0 means none.
func (s VersionInfo) Version() uint64 { return s.version }

// Author returns the name of the operator who made the version.
func (s VersionInfo) Author() string { return s.author }

// UnixMillis returns the operator's wall-clock time in milliseconds.
func (s VersionInfo) UnixMillis() int64 { return s.unixMillis }

type versionInfoJSON struct {
	Version    uint64 `json:"version"`
	Author     string `json:"author"`
	UnixMillis int64  `json:"unixMillis"`
	EditID     string `json:"edit"`
}

func (s VersionInfo) encode() versionInfoJSON {
	return versionInfoJSON{Version: s.version, Author: s.author, UnixMillis: s.unixMillis, EditID: s.editID}
}

func (s versionInfoJSON) decode() VersionInfo {
	return VersionInfo{version: s.Version, author: s.Author, unixMillis: s.UnixMillis, editID: s.EditID}
}

// headJSON is the value of KeyHead. Documents holds the version of every
// template and organisation row by its key, so that an incomplete copy of the
// rows is recognised. Shards holds the number of shards of every keyed service
// that ever was in force, since ownership rows outlive the service's removal
// from a template.
type headJSON struct {
	versionInfoJSON
	DocumentVersions map[string]uint64 `json:"documents"`
	ShardCounts      map[string]uint32 `json:"shards"`
}

// documentJSON is the value of a template or organisation row.
type documentJSON struct {
	versionInfoJSON
	Body json.RawMessage `json:"body"`
}

type acceptedVersionJSON struct {
	Version    uint64 `json:"version"`
	UnixMillis int64  `json:"unixMillis"`
}

// RowError reports a row that can't be read.
type RowError struct {
	key   string
	cause error
}

// NewRowError returns an error for the row at key.
func NewRowError(key string, cause error) *RowError {
	return &RowError{key: key, cause: cause}
}

// Key returns the row's key.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Error() string {
	return fmt.Sprintf("row %s can't be read: %v", e.key, e.cause)
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.cause }

// documentRow is a stored template or organisation.
type documentRow struct {
	row      table.Row
	info     VersionInfo
	document template.Document
}

// snapshot is the decoded content of configuration rows.
type snapshot struct {
	headRow          table.Row
	head             VersionInfo
	documentVersions map[string]uint64
	shardCounts      map[string]uint32
	acceptedVersion  uint64
	documentRows     []documentRow
}

func decodeRows(rows []table.Row) (snapshot, error) {
	result := snapshot{documentVersions: map[string]uint64{}, shardCounts: map[string]uint32{}}
	for _, row := range rows {
		if row.Version() == 0 {
			continue
		}
		if err := result.addRow(row); err != nil {
			return snapshot{}, err
		}
	}
	if err := result.checkComplete(); err != nil {
		return snapshot{}, err
	}
	return result, nil
}

// checkComplete compares the rows with those that the head lists. Copies that
// are put together from several reads may hold the rows of two versions.
func (s *snapshot) checkComplete() error {
	found := make(map[string]uint64, len(s.documentRows))
	for _, item := range s.documentRows {
		found[item.row.Key()] = item.info.version
	}
	keys := append(slices.Collect(maps.Keys(found)), slices.Collect(maps.Keys(s.documentVersions))...)
	slices.Sort(keys)
	for _, key := range keys {
		if found[key] != s.documentVersions[key] {
			return NewRowError(key, &VersionMismatchError{found: found[key], expected: s.documentVersions[key], headVersion: s.head.version})
		}
	}
	return nil
}

// VersionMismatchError reports a row of another version than the head lists.
type VersionMismatchError struct {
	found       uint64
	expected    uint64
	headVersion uint64
}

// Found returns the version of the row, 0 if it is absent.
func (e *VersionMismatchError) Found() uint64 { return e.found }

// Expected returns the version that the head lists, 0 for none.
func (e *VersionMismatchError) Expected() uint64 { return e.expected }

// HeadVersion returns the version of the head.
func (e *VersionMismatchError) HeadVersion() uint64 { return e.headVersion }

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("the copy is incomplete: the row has version %d, the head of version %d lists %d", e.found, e.headVersion, e.expected)
}

func (s *snapshot) addRow(row table.Row) error {
	key := row.Key()
	switch {
	case key == KeyHead:
		return s.addHead(row)
	case key == KeyAccepted:
		version, err := decodeAcceptedVersion(row)
		s.acceptedVersion = version
		return err
	case strings.HasPrefix(key, PrefixTemplate), strings.HasPrefix(key, PrefixOrganisation):
		return s.addDocument(row)
	default:
		return nil
	}
}

func (s *snapshot) addHead(row table.Row) error {
	var head headJSON
	if err := json.Unmarshal(row.Value(), &head); err != nil {
		return NewRowError(row.Key(), err)
	}
	s.headRow, s.head = row, head.decode()
	if head.DocumentVersions != nil {
		s.documentVersions = head.DocumentVersions
	}
	if head.ShardCounts != nil {
		s.shardCounts = head.ShardCounts
	}
	return nil
}

func decodeAcceptedVersion(row table.Row) (uint64, error) {
	var accepted acceptedVersionJSON
	if err := json.Unmarshal(row.Value(), &accepted); err != nil {
		return 0, NewRowError(row.Key(), err)
	}
	return accepted.Version, nil
}

func (s *snapshot) addDocument(row table.Row) error {
	var body documentJSON
	if err := json.Unmarshal(row.Value(), &body); err != nil {
		return NewRowError(row.Key(), err)
	}
	document, err := parseDocument(row.Key(), body.Body)
	if err != nil {
		return NewRowError(row.Key(), err)
	}
	s.documentRows = append(s.documentRows, documentRow{row: row, info: body.decode(), document: document})
	return nil
}

func parseDocument(key string, body []byte) (template.Document, error) {
	if strings.HasPrefix(key, PrefixTemplate) {
		return template.ParseTemplate(body)
	}
	return template.ParseOrganisation(body)
}

// documentKey returns the key of the document's row.
func documentKey(document template.Document) string {
	switch document := document.(type) {
	case template.Template:
		return TemplateKey(document.Kind())
	case template.Organisation:
		return OrganisationKey(document.Name())
	default:
		return ""
	}
}

func documentKind(document template.Document) string {
	switch document := document.(type) {
	case template.Template:
		return document.Kind()
	case template.Organisation:
		return document.Kind()
	default:
		return ""
	}
}
