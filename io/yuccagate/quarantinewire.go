package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/io/yuccawire"
)

// wireNews returns the message form of news.
func wireNews(now time.Time, news yuccaquarantine.News) yuccawire.Quarantine {
	var message yuccawire.Quarantine
	for _, crash := range news.Crashes {
		message.Crashes = append(message.Crashes, yuccawire.TargetCrash{
			Target: crash.Process.Target, StartMillis: crash.Process.StartMillis, AgeMillis: now.Sub(crash.At).Milliseconds(), Traits: crash.Traits,
		})
	}
	for _, cleared := range news.Cleared {
		message.Cleared = append(message.Cleared, yuccawire.ClearedTrait{Trait: cleared.Trait, AgeMillis: now.Sub(cleared.At).Milliseconds()})
	}
	for _, trial := range news.Trials {
		message.Trials = append(message.Trials, yuccawire.TraitTrial{Traits: trial.Traits, AgeMillis: now.Sub(trial.At).Milliseconds(), Number: trial.Number})
	}
	return message
}

// newsFromWire returns the news of a message that has arrived now.
func newsFromWire(now time.Time, message yuccawire.Quarantine) yuccaquarantine.News {
	var news yuccaquarantine.News
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond) }
	for _, crash := range message.Crashes {
		process := yuccaquarantine.Process{Target: crash.Target, StartMillis: crash.StartMillis}
		news.Crashes = append(news.Crashes, yuccaquarantine.Crash{Process: process, At: ago(crash.AgeMillis), Traits: crash.Traits})
	}
	for _, cleared := range message.Cleared {
		news.Cleared = append(news.Cleared, yuccaquarantine.Cleared{Trait: cleared.Trait, At: ago(cleared.AgeMillis)})
	}
	for _, trial := range message.Trials {
		news.Trials = append(news.Trials, yuccaquarantine.Trial{Traits: trial.Traits, At: ago(trial.AgeMillis), Number: trial.Number})
	}
	return news
}
