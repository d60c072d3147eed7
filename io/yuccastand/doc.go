// Package yuccastand holds small stand-ins for what yuccacleat talks to: the
// platform's configuration service, a model engine and a plain service.
//
// Each listens on a given listener, answers the same HTTP interface as the real one,
// and can be told to fail in a given way. Engines and plain services log what really
// ran, so that a test can compare it with what a caller was told.
package yuccastand
