package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// find returns the record of an id that this incarnation issued.
func (own *Owner) find(now time.Time, id yuccaid.RequestID) (*record, error) {
	own.advance(now)
	req, err := own.parse(id)
	if err != nil {
		return nil, err
	}
	if rec := own.record(req.Counter); rec != nil {
		return rec, nil
	}
	return nil, own.notHeldError(req, id)
}

// findFor is find for a caller, who must not learn of other accounts' requests: an id
// of another account gives the same error as one that is not stored.
func (own *Owner) findFor(now time.Time, id yuccaid.RequestID, acc yuccaid.Account) (*record, error) {
	rec, err := own.find(now, id)
	if err != nil {
		return nil, err
	}
	if rec.account != acc {
		req, _ := own.parse(id)
		return nil, own.notHeldError(req, id)
	}
	return rec, nil
}

func (own *Owner) parse(id yuccaid.RequestID) (yuccaid.RequestIDFields, error) {
	req, err := id.Parse(own.key)
	if err != nil {
		return yuccaid.RequestIDFields{}, err
	}
	if req.Owner != own.inc {
		return yuccaid.RequestIDFields{}, &WrongOwnerError{Owner: req.Owner}
	}
	return req, nil
}

func (own *Owner) record(counter uint64) *record {
	if rec := own.records.find(counter); rec != nil {
		return rec
	}
	return own.overdue[counter]
}

// notHeldError depends only on the id and the time, so that it doesn't reveal which ids
// are stored.
func (own *Owner) notHeldError(req yuccaid.RequestIDFields, id yuccaid.RequestID) error {
	if own.expired(own.clock.reading, req.Issued.UnixMilli()) {
		return &ExpiredError{ID: id, Lifetime: own.lifetime}
	}
	return &UnknownIDError{ID: id}
}
