package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/greengagetally/greengagetally/internal/config/change"
)

// ErrVersionNotFound reports a version that does not exist or is too old to be found.
var ErrVersionNotFound = errors.New("no such version of the configuration")

// maxSearchedPages bounds the search of the audit trail for an old version; it
// is about two weeks at 1,500 changes a day.
const maxSearchedPages = 210

// rootAt returns the version and parts of an earlier root. When the version is
// older than the records of current, the trail is also searched for a change
// with the nonce that current has forgotten.
func (c *Configuration) rootAt(ctx context.Context, current change.Root, version uint64, nonce string,
) (change.Root, *change.Record, error) {
	if version == current.Version {
		return current, nil, nil
	}
	if version > current.Version {
		return change.Root{}, nil, fmt.Errorf("%w: %d; the newest is %d", ErrVersionNotFound, version, current.Version)
	}
	record, recent := current.FindVersion(version)
	if oldest := current.Recent[0].Version; version+1 < oldest {
		found, done, err := c.searchPages(ctx, oldest-1, version, nonce)
		if err != nil || done != nil {
			return change.Root{}, done, err
		}
		record, recent = found, true
	}
	if version == 0 {
		return change.Root{}, nil, nil
	}
	if !recent {
		found, _, err := c.searchPages(ctx, version, version, "")
		if err != nil {
			return change.Root{}, nil, err
		}
		record = found
	}
	data, err := c.text(ctx, record.Manifest)
	if err != nil {
		return change.Root{}, nil, fmt.Errorf("version %d: %w", version, err)
	}
	parts, err := change.DecodeManifest(data)
	if err != nil {
		return change.Root{}, nil, err
	}

	return change.Root{Version: version, Parts: parts}, nil, nil
}

// searchPages goes back through the trail to the record of an accepted version
// and returns it, or first a record with the nonce. The trail is known to hold
// the accepted changes up to the version through; a page without them is a late
// read, in which a missing nonce would prove nothing.
func (c *Configuration) searchPages(ctx context.Context, through, version uint64, nonce string,
) (base change.Record, done *change.Record, err error) {
	page, _, err := c.lastPage(ctx)
	if err == nil && page.AcceptedThrough < through {
		err = fmt.Errorf("audit page %d is a late read", page.Number)
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
			err = fmt.Errorf("audit page %d is a late read", page.Number)
		}
	}

	return change.Record{}, nil, fmt.Errorf("%w: %d is not in the audit trail", ErrVersionNotFound, version)
}
