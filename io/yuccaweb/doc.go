// Package yuccaweb serves callers and operators over HTTP.
//
// Callers open a request, submit it, follow its answer and ask for its outcome;
// see the README for the shapes. Answers stream as JSON lines and the last line
// carries the count of pieces and the SHA-256 of their data, so that a shortened
// answer can't pass for a whole one. Errors are JSON with a kind, a remedy, whether
// the request ran and when to come back.
package yuccaweb
