package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// find returns the record of an id that this incarnation issued.
func (own *Owner) find(now time.Time, text yuccaid.RequestID) (*record, error) {
	own.advance(now)
	req, err := own.parse(text)
	if err != nil {
		return nil, err
	}
	if rec := own.record(req.Counter); rec != nil {
		return rec, nil
	}
	return nil, own.unknown(req, text)
}

// findFor is find for a caller, who must not learn of other accounts' requests: an
// id of another account is answered as one that is not held.
func (own *Owner) findFor(now time.Time, text yuccaid.RequestID, acc yuccaid.Account) (*record, error) {
	rec, err := own.find(now, text)
	if err != nil {
		return nil, err
	}
	if rec.account != acc {
		req, _ := own.parse(text)
		return nil, own.unknown(req, text)
	}
	return rec, nil
}

func (own *Owner) parse(text yuccaid.RequestID) (yuccaid.RequestIDFields, error) {
	req, err := text.Parse(own.key)
	if err != nil {
		return yuccaid.RequestIDFields{}, err
	}
	if req.Owner != own.inc {
		return yuccaid.RequestIDFields{}, &WrongOwnerError{Owner: req.Owner}
	}
	return req, nil
}

func (own *Owner) record(counter uint64) *record {
	if rec := own.held.find(counter); rec != nil {
		return rec
	}
	return own.overdue[counter]
}

// unknown depends on the id's text and the time only, so that it tells nothing of
// what is held.
func (own *Owner) unknown(req yuccaid.RequestIDFields, text yuccaid.RequestID) error {
	if own.expired(own.clock.reading, req.Issued.UnixMilli()) {
		return &ExpiredError{ID: text, Lifetime: own.lifetime}
	}
	return &UnknownIDError{ID: text}
}
