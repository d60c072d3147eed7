package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// find returns the record of an id that this incarnation issued.
func (own *Owner) find(now time.Time, id yuccaid.RequestID) (*record, error) {
	own.advance(now)
	fields, err := own.parse(id)
	if err != nil {
		return nil, err
	}
	if rec := own.record(fields.Counter); rec != nil {
		return rec, nil
	}
	return nil, own.notStoredError(fields, id)
}

// findFor is find for a caller, who must not learn of other accounts' requests: an id
// of another account gives the same error as an id that is not stored.
func (own *Owner) findFor(now time.Time, id yuccaid.RequestID, acc yuccaid.Account) (*record, error) {
	rec, err := own.find(now, id)
	if err != nil {
		return nil, err
	}
	if rec.account != acc {
		fields, _ := own.parse(id)
		return nil, own.notStoredError(fields, id)
	}
	return rec, nil
}

// parse decodes an id and refuses ids of other incarnations.
func (own *Owner) parse(id yuccaid.RequestID) (yuccaid.RequestIDFields, error) {
	fields, err := id.Parse(own.key)
	if err != nil {
		return yuccaid.RequestIDFields{}, err
	}
	if fields.Owner != own.inc {
		return yuccaid.RequestIDFields{}, &WrongOwnerError{Owner: fields.Owner}
	}
	return fields, nil
}

// record returns the record with the counter, which may be overdue, or nil if no record
// with the counter is stored.
func (own *Owner) record(counter uint64) *record {
	if rec := own.records.find(counter); rec != nil {
		return rec
	}
	return own.overdue[counter]
}

// notStoredError returns the error for an id without a record that the caller may see.
// The error depends only on the id and the time, so that it doesn't reveal which ids
// are stored.
func (own *Owner) notStoredError(fields yuccaid.RequestIDFields, id yuccaid.RequestID) error {
	if own.expired(own.clock.reading, fields.Issued.UnixMilli()) {
		return &ExpiredError{ID: id, Lifetime: own.lifetime}
	}
	return &UnknownIDError{ID: id}
}
