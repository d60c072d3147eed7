// Package yuccaconf reads the settings with which one daemon starts: who it is, where
// it listens and whom it asks.
//
// Settings are what differs from VM to VM; everything that the fleet shares comes by
// release notes. Load refuses a file with any mistake and tells all of them at once,
// each by line, key and remedy, since a daemon that starts with half its settings is
// found out only when its caller needs the other half.
//
//	settings, err := yuccaconf.Load("/etc/yuccacleat.yaml")
//	listener, err := net.Listen("tcp", settings.Listen.Peer)
//
// docs/settings.sample.yaml explains each key.
package yuccaconf
