package yuccapeer

// ClearCache clears the cache, so that a test sees the results computed again.
func (peers *Peers) ClearCache() { peers.viewCache = viewCache{} }
