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
			Target: crash.Process.Target, StartMillis: crash.Process.StartMillis, AgeMillis: now.Sub(crash.At).Milliseconds(), Parts: crash.Parts,
		})
	}
	for _, cleared := range news.Cleared {
		message.Cleared = append(message.Cleared, yuccawire.ClearedPart{Part: cleared.Part, AgeMillis: now.Sub(cleared.At).Milliseconds()})
	}
	for _, trial := range news.Trials {
		message.Trials = append(message.Trials, yuccawire.PartTrial{Parts: trial.Parts, AgeMillis: now.Sub(trial.At).Milliseconds(), Number: trial.Number})
	}
	return message
}

// newsFromWire returns the news of a message that has arrived now.
func newsFromWire(now time.Time, message yuccawire.Quarantine) yuccaquarantine.News {
	var news yuccaquarantine.News
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond) }
	for _, crash := range message.Crashes {
		process := yuccaquarantine.Process{Target: crash.Target, StartMillis: crash.StartMillis}
		news.Crashes = append(news.Crashes, yuccaquarantine.Crash{Process: process, At: ago(crash.AgeMillis), Parts: crash.Parts})
	}
	for _, cleared := range message.Cleared {
		news.Cleared = append(news.Cleared, yuccaquarantine.Cleared{Part: cleared.Part, At: ago(cleared.AgeMillis)})
	}
	for _, trial := range message.Trials {
		news.Trials = append(news.Trials, yuccaquarantine.Trial{Parts: trial.Parts, At: ago(trial.AgeMillis), Number: trial.Number})
	}
	return news
}
