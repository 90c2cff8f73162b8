// Package daisywire holds the generated encoding of the messages between VMs.
package daisywire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
