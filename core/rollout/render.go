package rollout

import (
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// RenderRows returns the catalog of configuration rows, as Read or Scan return
// them; other rows are ignored. Without a head it is empty and has version 0.
// The error is a *RowError or a *template.RenderError.
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
	for _, item := range s.documentRows {
		switch document := item.document.(type) {
		case template.Template:
			templates = append(templates, document)
		case template.Organisation:
			organisations = append(organisations, document)
		}
	}
	return template.RenderCatalog(version, templates, organisations)
}

// ActiveCatalog holds the catalog that a daemon has in force. The zero value has
// none, at version 0. It is not safe for concurrent use.
type ActiveCatalog struct {
	catalog template.Catalog
}

// Catalog returns the catalog in force.
func (f *ActiveCatalog) Catalog() template.Catalog { return f.catalog }

// Update puts the rows in force if they render to a newer version, and tells
// whether it did. Rows of an older version change nothing. If the rows can't be
// rendered, the former catalog stays in force and the error says why.
func (f *ActiveCatalog) Update(rows []table.Row) (bool, error) {
	catalog, err := RenderRows(rows)
	if err != nil {
		return false, err
	}
	if catalog.Version() <= f.catalog.Version() {
		return false, nil
	}
	f.catalog = catalog
	return true, nil
}

// Versions holds the stored and the accepted version.
type Versions struct {
	head     VersionInfo
	accepted uint64
}

// Head returns the newest stored version, the zero Stamp if there is none.
func (v Versions) Head() VersionInfo { return v.head }

// Accepted returns the newest accepted version, 0 if there is none.
func (v Versions) Accepted() uint64 { return v.accepted }

// DecodeVersions returns the versions that configuration rows tell. The error is
// a *RowError.
func DecodeVersions(rows []table.Row) (Versions, error) {
	decoded, err := decodeRows(rows)
	return Versions{head: decoded.head, accepted: decoded.acceptedVersion}, err
}
