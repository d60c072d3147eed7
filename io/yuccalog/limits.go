package yuccalog

import "time"

const (
	// queueBytes bounds the lines that wait to be written. Debug and info lines may use less of it,
	// so that there is room for warn lines while nobody reads.
	queueBytes      = 256 << 10
	debugQueueBytes = 100 << 10
	infoQueueBytes  = 180 << 10
	// The rates are lines per second, and the bursts are lines that may be written at once.
	debugRate, debugBurst = 100, 200
	infoRate, infoBurst   = 150, 300
	warnRate, warnBurst   = 400, 800
	// omissionInterval is the time between the lines that report how many lines were left out.
	omissionInterval = time.Second
	// closeTimeout bounds how long Close waits until the lines are written.
	closeTimeout = 200 * time.Millisecond
)
