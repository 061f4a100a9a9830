package rollout

import (
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// RenderRows returns the catalog of the configuration rows among rows, which are as
// Read or Scan of the table return them. It ignores other rows. Without a head row
// the catalog is empty and has version 0. The error is a *RowError or a
// *template.RenderError.
func RenderRows(rows []table.Row) (template.Catalog, error) {
	decoded, err := decodeRows(rows)
	if err != nil {
		return template.Catalog{}, err
	}
	return decoded.render(decoded.head.version)
}

func (s snapshot) render(version uint64) (template.Catalog, error) {
	var templates []template.Template
	var organisations []template.Organisation
	for _, stored := range s.documentRows {
		switch document := stored.document.(type) {
		case template.Template:
			templates = append(templates, document)
		case template.Organisation:
			organisations = append(organisations, document)
		}
	}
	return template.RenderCatalog(version, templates, organisations)
}

// ActiveCatalog holds the catalog that a daemon applies to requests. The zero value
// holds an empty catalog of version 0. It is not safe for concurrent use.
type ActiveCatalog struct {
	catalog template.Catalog
}

// Catalog returns the active catalog.
func (a *ActiveCatalog) Catalog() template.Catalog { return a.catalog }

// Update renders the rows, activates the catalog if its version is newer, and reports
// whether it did. Rows of an older version change nothing. If the rows can't be
// rendered, the previous catalog stays active and Update returns the error of
// RenderRows.
func (a *ActiveCatalog) Update(rows []table.Row) (bool, error) {
	catalog, err := RenderRows(rows)
	if err != nil {
		return false, err
	}
	if catalog.Version() <= a.catalog.Version() {
		return false, nil
	}
	a.catalog = catalog
	return true, nil
}

// Versions holds the newest stored version and the newest accepted version.
type Versions struct {
	head     VersionInfo
	accepted uint64
}

// Head returns the newest stored version, the zero VersionInfo if there is none.
func (v Versions) Head() VersionInfo { return v.head }

// Accepted returns the newest accepted version, 0 if there is none.
func (v Versions) Accepted() uint64 { return v.accepted }

// DecodeVersions returns the versions in the configuration rows. The error is a
// *RowError.
func DecodeVersions(rows []table.Row) (Versions, error) {
	decoded, err := decodeRows(rows)
	return Versions{head: decoded.head, accepted: decoded.acceptedVersion}, err
}
