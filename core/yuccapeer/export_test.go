package yuccapeer

// ClearCache drops what was worked out from the view, so that a test sees it worked out anew.
func (peers *Peers) ClearCache() { peers.viewCache = viewCache{} }
