package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/io/yuccawire"
)

// ref shortens the id of a request for messages between its owner and a leader.
func (d *Daemon) ref(id yuccaid.RequestID) yuccawire.Ref {
	parsed, err := id.Parse(d.key)
	if err != nil {
		return yuccawire.Ref{}
	}
	return yuccawire.Ref{Counter: parsed.Counter, Issued: parsed.Issued.UnixMilli()}
}

// unref restores the id; every daemon holds the key that signs it.
func (d *Daemon) unref(owner yuccaid.Incarnation, ref yuccawire.Ref) yuccaid.RequestID {
	request := yuccaid.RequestIDFields{Owner: owner, Counter: ref.Counter, Issued: time.UnixMilli(ref.Issued)}
	return request.Sign(d.key)
}

func (d *Daemon) wireOffer(ask yuccaqueue.Request) yuccawire.Offer {
	return yuccawire.Offer{
		Ref: d.ref(ask.ID), Account: ask.Account, Pool: ask.Pool, Rank: ask.Rank, Idempotent: ask.Idempotent,
		RemainingMillis: ask.Remaining.Milliseconds(), Prompt: ask.Prompt, Answer: ask.Answer, Prefixes: ask.Prefixes,
	}
}

// ask restores an offer; the tier's name comes from this daemon's configuration.
func (d *Daemon) ask(owner yuccaid.Incarnation, offer yuccawire.Offer) yuccaqueue.Request {
	ask := yuccaqueue.Request{
		ID: d.unref(owner, offer.Ref), Owner: owner, Account: offer.Account, Pool: offer.Pool, Rank: offer.Rank,
		Idempotent: offer.Idempotent, Remaining: time.Duration(offer.RemainingMillis) * time.Millisecond,
		Prompt: offer.Prompt, Answer: offer.Answer, Prefixes: offer.Prefixes, Centre: d.self.Centre,
	}
	for name, tier := range d.State().Tiers {
		if tier.Rank == offer.Rank {
			ask.Tier = name
		}
	}
	return ask
}

func (d *Daemon) wireFinished(pool yuccaid.Pool, finished yuccapool.Finished) yuccawire.Finished {
	return yuccawire.Finished{
		Pool: pool, Ref: d.ref(finished.ID), Target: finished.Target, Ending: endingOf(finished),
		Prompt: finished.Prompt, Cached: finished.Cached, Answer: finished.Answer,
		PrefillMillis: finished.Prefill.Milliseconds(), DecodeMillis: finished.Decode.Milliseconds(),
	}
}

func endingOf(finished yuccapool.Finished) yuccawire.Ending {
	var ending yuccawire.Ending
	for _, mark := range []struct {
		set   bool
		value yuccawire.Ending
	}{
		{finished.Ran, yuccawire.EndingRan},
		{finished.Refused, yuccawire.EndingRefused},
		{finished.Leaving, yuccawire.EndingLeaving},
		{finished.Failed, yuccawire.EndingFailed},
		{finished.Partial, yuccawire.EndingPartial},
	} {
		if mark.set {
			ending |= mark.value
		}
	}
	return ending
}

func (d *Daemon) finished(owner yuccaid.Incarnation, message yuccawire.Finished) yuccapool.Finished {
	return yuccapool.Finished{
		ID: d.unref(owner, message.Ref), Target: message.Target,
		Ran:     message.Ending&yuccawire.EndingRan != 0,
		Refused: message.Ending&yuccawire.EndingRefused != 0,
		Leaving: message.Ending&yuccawire.EndingLeaving != 0,
		Failed:  message.Ending&yuccawire.EndingFailed != 0,
		Partial: message.Ending&yuccawire.EndingPartial != 0,
		Prompt:  message.Prompt, Cached: message.Cached, Answer: message.Answer,
		Prefill: time.Duration(message.PrefillMillis) * time.Millisecond,
		Decode:  time.Duration(message.DecodeMillis) * time.Millisecond,
	}
}

func (d *Daemon) grant(leader yuccaid.Incarnation, message yuccawire.Grant) yuccapool.Grant {
	return yuccapool.Grant{
		ID: d.unref(d.self.Incarnation, message.Ref), Owner: d.self.Incarnation, Leader: leader, Target: message.Target,
		ValidFor: time.Duration(message.ExpiresMillis) * time.Millisecond, ConfigNumber: message.Number,
	}
}

func (d *Daemon) refusal(message yuccawire.Refusal) yuccapool.Refusal {
	return yuccapool.Refusal{
		ID: d.unref(d.self.Incarnation, message.Ref), Owner: d.self.Incarnation,
		Reason: yuccaqueue.Reason(message.Reason), RetryAfter: time.Duration(message.BackMillis) * time.Millisecond,
	}
}

func (d *Daemon) cancel(message yuccawire.Cancel) yuccapool.Cancel {
	return yuccapool.Cancel{
		ID: d.unref(d.self.Incarnation, message.Ref), Owner: d.self.Incarnation, Target: message.Target,
		Reason: yuccaqueue.Reason(message.Reason), RetryAfter: time.Duration(message.BackMillis) * time.Millisecond,
	}
}
