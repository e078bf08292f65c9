package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/greengagetally/greengagetally/internal/config/change"
)

// ErrVersionNotFound reports a version that does not exist, or whose record is more
// than maxSearchedPages pages back in the audit trail.
var ErrVersionNotFound = errors.New("no such version of the configuration")

// maxSearchedPages bounds the search of the audit trail for an earlier version. 210
// pages hold the records of two weeks at 1,500 changes a day.
const maxSearchedPages = 210

// rootOfVersion returns the root of the given version. The root of a version older than
// current has only the fields Version and Parts. If current has dropped records of
// changes after the version, rootOfVersion also searches the audit trail for an
// accepted change with the nonce. If there is one, it returns the record of that change
// instead of a root.
func (c *Configuration) rootOfVersion(ctx context.Context, current change.Root, version uint64, nonce string,
) (change.Root, *change.Record, error) {
	if version == current.Version {
		return current, nil, nil
	}
	if version > current.Version {
		return change.Root{}, nil, fmt.Errorf("%w: %d; the newest version is %d", ErrVersionNotFound, version, current.Version)
	}
	record, haveRecord := current.FindVersion(version)
	if oldest := current.Recent[0].Version; version+1 < oldest {
		found, ofNonce, err := c.searchPages(ctx, oldest-1, version, nonce)
		if err != nil || ofNonce != nil {
			return change.Root{}, ofNonce, err
		}
		record, haveRecord = found, true
	}
	if version == 0 {
		return change.Root{}, nil, nil
	}
	if !haveRecord {
		found, _, err := c.searchPages(ctx, version, version, "")
		if err != nil {
			return change.Root{}, nil, err
		}
		record = found
	}
	data, err := c.readPart(ctx, record.Manifest)
	if err != nil {
		return change.Root{}, nil, fmt.Errorf("version %d: %w", version, err)
	}
	parts, err := change.DecodeManifest(data)
	if err != nil {
		return change.Root{}, nil, err
	}

	return change.Root{Version: version, Parts: parts}, nil, nil
}

// searchPages searches the audit trail backwards for accepted changes: it returns the
// record of the version, or the record with the nonce if it finds that one first.
// Version 0 has no record, so the search for it goes on to the first page. The trail is
// known to hold the accepted changes up to version auditedThrough. A last page without
// them is a stale read, and causes an error, because a stale trail may lack the nonce.
func (c *Configuration) searchPages(ctx context.Context, auditedThrough, version uint64, nonce string,
) (ofVersion change.Record, ofNonce *change.Record, err error) {
	page, _, err := c.readLastPage(ctx)
	if err == nil && page.AcceptedThrough < auditedThrough {
		err = fmt.Errorf("the store returned a stale audit page %d", page.Number)
	}
	for range maxSearchedPages {
		if err != nil {
			return change.Record{}, nil, err
		}
		for _, r := range slices.Backward(page.Records) {
			if r.Result != change.Accepted {
				continue
			}
			if nonce != "" && r.Nonce == nonce {
				return change.Record{}, &r, nil
			}
			if r.Version == version {
				return r, nil, nil
			}
		}
		if page.Number == 0 && version == 0 {
			return change.Record{}, nil, nil
		}
		if page.Number == 0 {
			break
		}
		page, _, err = c.readPage(ctx, page.Number-1)
		if err == nil && !page.Full() {
			err = fmt.Errorf("the store returned a stale audit page %d", page.Number)
		}
	}

	return change.Record{}, nil, fmt.Errorf("%w: %d is not in the audit trail", ErrVersionNotFound, version)
}
