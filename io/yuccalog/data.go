package yuccalog

import "time"

const (
	// queueBytes bounds what waits to be written; 256 KB are some thousand lines. Debug and
	// info lines may fill less of it, so that the others still find room while nobody reads.
	queueBytes = 256 << 10
	chatBytes  = 100 << 10
	plainBytes = 180 << 10
	// The lines of each level in a second, and how many may come at once. A daemon takes some
	// 15 requests a second at the size that the product is made for; ten times as many write
	// two lines each within these rates.
	chatRate, chatBurst   = 100, 200
	plainRate, plainBurst = 150, 300
	urgentRate            = 400
	urgentBurst           = 800
	// tellEvery spaces the lines that tell how many were left out.
	tellEvery = time.Second
	// farewell is how long Close waits for a reader.
	farewell = 200 * time.Millisecond
)
