package yuccaconf

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Settings is what one daemon starts with.
type Settings struct {
	VM           yuccaid.VM     `json:"vm"`
	Centre       yuccaid.Centre `json:"centre"`
	Listen       Listen         `json:"listen"`
	Advertise    string         `json:"advertise"`
	Platform     string         `json:"platform"`
	Seeds        []string       `json:"seeds"`
	FleetKeyFile string         `json:"fleetKeyFile"`
	LongestDrain time.Duration  `json:"longestDrain"`
	Log          Log            `json:"log"`
	Limits       Limits         `json:"limits"`

	// FleetKey is the content of the key file.
	FleetKey yuccaid.Key
}

// Listen is the addresses that the daemon listens on.
type Listen struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// Level is how much the daemon logs.
type Level string

// The levels, from most to least.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Log is how the daemon logs.
type Log struct {
	Level Level `json:"level"`
}

// Limits bounds what the daemon holds in memory, so that a burst is refused with an
// answer instead of ending the process and every request with it.
type Limits struct {
	Requests    int           `json:"requests"`
	Callers     int           `json:"callers"`
	Body        yuccaid.Bytes `json:"body"`
	Answers     yuccaid.Bytes `json:"answers"`
	AnswerLife  time.Duration `json:"answerLife"`
	RequestLife time.Duration `json:"requestLife"`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		LongestDrain: 10 * time.Minute,
		Log:          Log{Level: LevelInfo},
		Limits: Limits{
			Requests: 20_000,
			// An open stream costs some 99 KB, so these stay within 256 MB beside full buffers.
			Callers:     600,
			Body:        1 << 20,
			Answers:     64 << 20,
			AnswerLife:  2 * time.Minute,
			RequestLife: 30 * time.Minute,
		},
	}
}
