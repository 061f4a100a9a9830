// Package rollout stores configuration versions in the table, renders them for
// daemons, and follows a version until it is active at every member.
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
	// KeyHead is the key of the head row, which describes the newest version.
	KeyHead = Prefix + "head"
	// KeyAccepted is the key of the row with the newest accepted version.
	KeyAccepted = Prefix + "accepted"
	// PrefixTemplate is the prefix of template rows.
	PrefixTemplate = Prefix + "template/"
	// PrefixOrganisation is the prefix of organisation rows.
	PrefixOrganisation = Prefix + "organisation/"
	// PrefixHistory is the prefix of history rows. Daemons don't replicate them.
	PrefixHistory = Prefix + "history/"
)

// TemplateKey returns the row key of the template for a kind of organisation.
func TemplateKey(kind string) string { return PrefixTemplate + kind }

// OrganisationKey returns the row key of an organisation.
func OrganisationKey(name string) string { return PrefixOrganisation + name }

// HistoryKey returns the row key of the edit that created a version.
func HistoryKey(version uint64) string {
	return PrefixHistory + strconv.FormatUint(version, 10)
}

// VersionInfo identifies a configuration version, its author and its time.
type VersionInfo struct {
	version    uint64
	author     string
	unixMillis int64
	editID     string
}

// Version returns the configuration version, from 1; 0 means none.
func (v VersionInfo) Version() uint64 { return v.version }

// Author returns the name of the operator who created the version.
func (v VersionInfo) Author() string { return v.author }

// UnixMillis returns when the version was created, as Unix time in milliseconds on
// the operator's clock.
func (v VersionInfo) UnixMillis() int64 { return v.unixMillis }

type versionInfoJSON struct {
	Version    uint64 `json:"version"`
	Author     string `json:"author"`
	UnixMillis int64  `json:"unixMillis"`
	EditID     string `json:"edit"`
}

func (v VersionInfo) encode() versionInfoJSON {
	return versionInfoJSON{Version: v.version, Author: v.author, UnixMillis: v.unixMillis, EditID: v.editID}
}

func (v versionInfoJSON) decode() VersionInfo {
	return VersionInfo{version: v.Version, author: v.Author, unixMillis: v.UnixMillis, editID: v.EditID}
}

// headJSON is the value of the row KeyHead. DocumentVersions holds the version of
// every template and organisation row by its key, so that an inconsistent set of
// rows is detected. ShardCounts holds the number of shards of every keyed service
// that has ever been stored, since the ownership rows of a service stay after its
// removal from a template.
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

// RowError reports a row whose value can't be decoded or encoded, or that is not of
// the version that the head lists.
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

// documentRow is a row with its decoded template or organisation.
type documentRow struct {
	row      table.Row
	info     VersionInfo
	document template.Document
}

// snapshot holds the decoded configuration rows.
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
	if err := result.checkVersions(); err != nil {
		return snapshot{}, err
	}
	return result, nil
}

// checkVersions compares the versions of the rows with those that the head lists.
// Rows that were replicated by several reads may be of different versions.
func (s *snapshot) checkVersions() error {
	foundVersions := make(map[string]uint64, len(s.documentRows))
	for _, stored := range s.documentRows {
		foundVersions[stored.row.Key()] = stored.info.version
	}
	keys := append(slices.Collect(maps.Keys(foundVersions)), slices.Collect(maps.Keys(s.documentVersions))...)
	slices.Sort(keys)
	for _, key := range keys {
		if foundVersions[key] != s.documentVersions[key] {
			return NewRowError(key, &VersionMismatchError{found: foundVersions[key], expected: s.documentVersions[key], headVersion: s.head.version})
		}
	}
	return nil
}

// VersionMismatchError reports a row whose version is not the one that the head lists.
type VersionMismatchError struct {
	found       uint64
	expected    uint64
	headVersion uint64
}

// Found returns the version of the row, 0 if it is absent.
func (e *VersionMismatchError) Found() uint64 { return e.found }

// Expected returns the version that the head lists, 0 if it does not list the row.
func (e *VersionMismatchError) Expected() uint64 { return e.expected }

// HeadVersion returns the version of the head.
func (e *VersionMismatchError) HeadVersion() uint64 { return e.headVersion }

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("the rows are not of the same configuration version: this row has version %d, but the head of version %d lists %d", e.found, e.headVersion, e.expected)
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
