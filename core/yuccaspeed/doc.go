// Package yuccaspeed estimates how long work takes on a target at this moment, compared with what is
// usual there, from figures that targets state with their answers.
//
// A target that shares its machine with others may take several times as long at one moment as at the
// next. Its stated figure is as old as its last answer, and it may be wrong. So a Model learns two
// things from all targets of a pool: for how long a figure holds, from the figures that follow one
// another, and how far the figures can be trusted, from how long work then took. A figure that is old,
// or that says nothing about the work, counts for nothing.
//
// The package has no clock, no sockets and no goroutines.
package yuccaspeed
